/** Keeps the connections to one target for its next requests. */
import type { ClientRequest } from 'node:http';
import { Agent } from 'node:http';
import type { Duplex } from 'node:stream';

/** Shorter than the usual keep-alive timeout of servers, so that this side closes first. */
const IDLE_TIMEOUT_MILLISECONDS = 3_000;

function closeConnection(this: Duplex): void {
  this.destroy();
}

/**
 * Closes an idle connection on which bytes arrive: they answer no request, and what follows on it
 * cannot be trusted either.
 */
export default class TargetAgent extends Agent {
  constructor(maximumConnections: number) {
    super({
      keepAlive: true,
      maxSockets: maximumConnections,
      scheduling: 'lifo',
      timeout: IDLE_TIMEOUT_MILLISECONDS,
    });
  }

  /** Called by Node with a connection that becomes idle. */
  public override keepSocketAlive(socket: Duplex): void {
    socket.on('data', closeConnection);
    // Node keeps the connection only if this is true, which its types do not state.
    return super.keepSocketAlive(socket);
  }

  /** Called by Node with an idle connection that gets a request. */
  public override reuseSocket(socket: Duplex, request: ClientRequest): void {
    socket.off('data', closeConnection);
    super.reuseSocket(socket, request);
  }
}
