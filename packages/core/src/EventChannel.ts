import type { Stream } from 'most';
import { async as createSubject } from 'most-subject';
import type { Subject } from 'most-subject';

/** A stream that the owner publishes to and that others listen to, built on `most`. */
export default class EventChannel<Event> {
  private readonly subject: Subject<Event> = createSubject<Event>();

  /** The events from now on. */
  public get stream(): Stream<Event> {
    return this.subject;
  }

  public publish(event: Event): void {
    this.subject.next(event);
  }

  /** Calls the listener for each event from now on; returns a function that ends it. */
  public listen(listener: (event: Event) => void): () => void {
    const subscription = this.subject.subscribe({
      next: listener,
      error: () => {},
      complete: () => {},
    });
    return () => subscription.unsubscribe();
  }
}
