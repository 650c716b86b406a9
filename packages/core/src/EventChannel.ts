import type { Stream } from 'most';
import { async as createSubject } from 'most-subject';
import type { Subject } from 'most-subject';

/** An event stream that its owner publishes to and others listen to, built on `most`. */
export default class EventChannel<Event> {
  private readonly subject: Subject<Event> = createSubject<Event>();

  /** Events published after subscription. */
  public get stream(): Stream<Event> {
    return this.subject;
  }

  public publish(event: Event): void {
    this.subject.next(event);
  }

  /** Calls the listener for each later event; returns a function that unsubscribes it. */
  public listen(listener: (event: Event) => void): () => void {
    const subscription = this.subject.subscribe({
      next: listener,
      error: () => {},
      complete: () => {},
    });
    return () => subscription.unsubscribe();
  }
}
