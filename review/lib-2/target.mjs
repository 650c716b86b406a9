/**
 * A small stand-in for a target. It runs a request for `workMilliseconds`, echoes Attempt-Id, signs its
 * answers, answers 421 to a request for another target, and keeps idle connections for ten seconds. Its
 * entry lies in the store while it lives.
 */
import { createServer } from 'node:http';

const IDLE_MILLISECONDS = 10_000;

export default class Target {
  sockets = new Set();

  /** Decides what becomes of a request that is begun: 'answer', 'crash' or 'lose' (the answer). */
  decide = () => 'answer';

  /** Called when a request arrives whole, before anything is decided. */
  onArrival = () => {};

  /** Called when a request has run to its end. */
  onRun = () => {};

  /** Called when work on a request ends, with 'ran' or, if its connection closed, 'stopped'. */
  onEnd = () => {};

  isRunning = false;

  /** How far the time of day of its machine is ahead, in milliseconds. */
  clockOffset = 0;

  constructor({ store, service, zone, host, port, slots = 6, workMilliseconds = () => 60 }) {
    Object.assign(this, { store, service, zone, host, port, slots, workMilliseconds });
  }

  get address() {
    return `${this.host}:${this.port}`;
  }

  /** Starts a new incarnation under a new id; `registers` writes its entry. */
  async start(id, registers = true) {
    this.id = id;
    this.born = Date.now() + this.clockOffset;
    this.sequence = 1;
    this.running = 0;
    this.server = createServer((request, response) => this.serve(request, response));
    this.server.keepAliveTimeout = IDLE_MILLISECONDS;
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('error', () => {});
      socket.on('close', () => this.sockets.delete(socket));
    });
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.port, this.host, resolve);
    });
    this.isRunning = true;
    if (registers) this.register('ready');
  }

  register(state) {
    this.store.put('keyed.servers', this.id, {
      address: this.address,
      info: { service: this.service, version: 'v1', zone: this.zone, slots: this.slots },
      status: { state, sequence: this.sequence, cold_left_ms: 0 },
      born: this.born,
    });
    this.sequence += 1;
  }

  /** Removes the entry from the store, which acknowledges that at once. */
  unregister() {
    this.store.put('keyed.servers', this.id, undefined);
  }

  /** Ends as a process does that is killed: its connections end and its port refuses. */
  kill() {
    this.isRunning = false;
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  serve(request, response) {
    const { id } = this;
    const parts = [];
    request.on('error', () => {});
    response.on('error', () => {});
    request.on('data', (part) => parts.push(part));
    request.on('end', () => {
      const { headers, method, url } = request;
      const attempt = headers['attempt-id'] ?? '';
      const body = Buffer.concat(parts).toString('latin1');
      const arrival = { target: id, attempt, method, url, body, at: performance.now() };
      const expected = headers['expected-target'];
      if (expected !== undefined && expected !== id) {
        response.writeHead(421, { 'attempt-id': attempt, 'target-id': id, 'content-length': 0 });
        response.end();
        return;
      }
      this.onArrival(arrival);
      const decision = this.decide(arrival);
      if (decision === 'crash') {
        this.kill();
        return;
      }
      this.running += 1;
      const timer = setTimeout(() => {
        this.running -= 1;
        if (!this.isRunning || this.id !== id) return;
        this.onRun(arrival);
        this.onEnd(arrival, 'ran');
        if (decision === 'lose') {
          response.destroy();
          return;
        }
        const bytes = Buffer.from(`ran ${attempt} at ${id}\n`);
        response.writeHead(200, {
          'attempt-id': attempt,
          'response-signature': `s.${attempt}`,
          'target-load': `${this.running},0,${this.slots}`,
          'content-length': bytes.length,
        });
        response.end(bytes);
      }, this.workMilliseconds(arrival));
      response.on('close', () => {
        if (response.writableFinished || !this.isRunning || this.id !== id) return;
        clearTimeout(timer);
        this.running -= 1;
        this.onEnd(arrival, 'stopped');
      });
    });
  }
}
