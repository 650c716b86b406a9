/** Looks at the entries of a large map a few at a time and removes those that are not needed. */
export default class Sweep<Value> {
  private iterator: IterableIterator<[string, Value]>;

  constructor(
    private readonly map: Map<string, Value>,
    private readonly isNeeded: (value: Value) => boolean,
  ) {
    this.iterator = map.entries();
  }

  /** Looks at the next entries. */
  public step(size: number): void {
    const results = Array.from({ length: size }, () => this.iterator.next());
    results
      .flatMap((result) => (result.done === true ? [] : [result.value]))
      .filter(([, value]) => !this.isNeeded(value))
      .forEach(([key]) => this.map.delete(key));
    if (results.at(-1)?.done === true) this.iterator = this.map.entries();
  }
}
