/** Creates the operators' side of a daemon: queries, changes and the server of both. */
import type { ConfigurationStore } from '@cactusrun/configuration';
import ChangeService from './ChangeService.js';
import OperatorQueries from './OperatorQueries.js';
import type { Readiness } from './OperatorServer.js';
import OperatorServer from './OperatorServer.js';
import type StopGate from './StopGate.js';
import type { Control, DaemonContext } from './wireControl.js';
import type { Targets } from './wireTargets.js';

export default function wireOperators(
  { settings, host, clock, counters, logger }: DaemonContext,
  { platform, store, membership, clients, follower }: Control,
  { registry, prober }: Targets,
  gate: StopGate,
) {
  const queries = new OperatorQueries({
    self: host,
    store,
    membership,
    registry,
    clients,
    counters,
    isLogReachable: () => follower.isLogReachable,
    reportedLoad: (address) => prober.statusOf(address)?.load,
  });
  const changes = new ChangeService({ store, log: platform, clock, counters, logger });
  const operators = new OperatorServer({
    address: settings.addresses.operators,
    counters,
    queries,
    changes,
    readiness: () => describeReadiness(store, gate),
  });
  return { queries, operators };
}

function describeReadiness(store: ConfigurationStore, { isStopping }: StopGate): Readiness {
  const reasons = [
    ...(store.isReady ? [] : ['no configuration: neither the log nor a peer was reached']),
    ...(isStopping ? ['leaving'] : []),
  ];
  return { isReady: reasons.length === 0, reasons };
}
