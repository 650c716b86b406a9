/** Target connector that sends attempts to model targets. */
import type { ConnectionAge, Target } from '@cactusrun/core';
import type { Attempt, TargetConnector, TargetResult } from '@cactusrun/requests';
import type ModelTarget from './ModelTarget.js';

export default class ModelConnector implements TargetConnector {
  constructor(private readonly targets: ReadonlyMap<string, ModelTarget>) {}

  public send(
    target: Target,
    attempt: Attempt,
    signal: AbortSignal,
    onSent: (connection: ConnectionAge) => void,
  ): Promise<TargetResult> {
    onSent('new');
    const model = this.targets.get(target.name);
    if (model === undefined || signal.aborted) {
      return Promise.resolve({ kind: 'connect-failed', detail: 'no such target' });
    }
    return model.run(attempt.callerZone, signal);
  }
}
