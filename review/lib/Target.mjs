/**
 * Stand-in for a target. It runs up to `slots` requests at once, queues a few more and refuses the
 * rest with `Not-Executed`; it drops a request when its connection closes and stops at the deadline.
 *
 * The query of a request says how its target answers: `work` (milliseconds of work), `bytes` (length
 * of the body) and `length=none` (an answer without a length, which ends with its connection).
 */
import { createHash } from 'node:crypto';
import { createServer } from 'node:http';

const QUEUE_FACTOR = 4;
/** Pieces of a body of one byte each, as they are framed in HTTP/1.1. */
const SHORT_PIECES = Buffer.from('1\r\na\r\n'.repeat(500));
const PIECE = Buffer.alloc(65_536, 'abcdefghijklmnopqrstuvwxyz012345');

export default class Target {
  /** @param record - gets a line for each request that is run */
  constructor({ id, service, zone, slots, record }) {
    Object.assign(this, { id, service, zone, slots, record });
    this.running = 0;
    this.queue = [];
    this.sequence = 0;
    /** Whether it leaves, which it says in all its answers. */
    this.isLeaving = false;
    /** Whether its answers have no end: the body comes in short pieces until the caller closes. */
    this.isEndless = false;
    /** Share of the answers without a length that break off: their connection is reset halfway. */
    this.breakShare = 0;
    /** Ids of the requests whose answers broke off. */
    this.broken = new Set();
    this.born = Date.now();
    /** What happened to each request that reached the target, in the order of arrival. */
    this.runs = [];
    this.sockets = new Set();
    this.server = createServer((request, response) => this.receive(request, response));
    this.server.keepAliveTimeout = 10_000;
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
  }

  async start(host, port) {
    this.address = `${host}:${port}`;
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({ host, port }, resolve);
    });
  }

  stop() {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  /** Ends as a crash does: all its connections are reset. */
  crash() {
    this.record.say(`target ${this.id} crashes`);
    this.server.close();
    this.sockets.forEach((socket) => socket.resetAndDestroy());
  }

  /** What the target says of itself in the store. */
  entry(state = 'ready') {
    this.sequence += 1;
    const { address, born, sequence, service, slots, zone } = this;
    return {
      address,
      born,
      info: { service, version: 'v1', zone, slots },
      status: { state, sequence, cold_left_ms: 0 },
    };
  }

  receive(request, response) {
    const chunks = [];
    request.on('error', () => {});
    response.on('error', () => {});
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => this.take(request, response, chunks));
  }

  take(request, response, chunks) {
    const id = request.headers['attempt-id'];
    if (request.url === '/health') {
      response.writeHead(200, { 'Target-Id': this.id, 'Target-Load': this.load() }).end();
    } else if (id === undefined) {
      response.writeHead(400, { 'Not-Executed': '1' }).end();
    } else if (request.headers['expected-target'] !== this.id) {
      response.writeHead(421, { 'Target-Id': this.id, 'Attempt-Id': id }).end();
    } else if (this.running >= this.slots && this.queue.length >= this.slots * QUEUE_FACTOR) {
      this.record.add(`target ${this.id} refuses ${id}: full`);
      response.writeHead(503, { 'Not-Executed': '1', 'Attempt-Id': id }).end();
    } else {
      const bodyBytes = chunks.reduce((sum, { length }) => sum + length, 0);
      this.queue.push({ id, request, response, bodyBytes, arrivedAt: this.record.now() });
      this.startNext();
    }
  }

  load() {
    return `${this.running},${this.queue.length},${this.slots}`;
  }

  startNext() {
    if (this.running >= this.slots || this.queue.length === 0) return;
    const job = this.queue.shift();
    if (job.response.destroyed || job.request.socket.destroyed) {
      this.startNext();
      return;
    }
    this.running += 1;
    this.run(job);
    this.startNext();
  }

  run({ id, request, response, bodyBytes, arrivedAt }) {
    const query = new URL(request.url, 'http://target').searchParams;
    const run = { id, arrivedAt, startedAt: this.record.now(), endedAt: undefined, end: undefined };
    this.runs.push(run);
    this.record.add(
      `target ${this.id} runs ${id} ${request.method} ${request.url} (${bodyBytes} B)`,
    );
    let timer;
    const end = (how) => {
      if (run.end !== undefined) return;
      clearTimeout(timer);
      run.end = how;
      run.endedAt = this.record.now();
      this.record.add(`target ${this.id} ends ${id}: ${how}`);
      this.running -= 1;
      this.startNext();
    };
    const deadline = Number(request.headers['deadline-ms'] ?? 60_000);
    const work = Number(query.get('work') ?? 10);
    response.on('close', () => end(response.writableFinished ? 'answered' : 'connection closed'));
    timer = setTimeout(
      () => {
        if (work > deadline) response.writeHead(504, { 'Attempt-Id': id }).end();
        else this.answer(id, query, response);
      },
      Math.min(work, deadline),
    );
  }

  answer(id, query, response) {
    if (this.isEndless) {
      sendWithoutEnd(id, response);
      return;
    }
    const bytes = Number(query.get('bytes') ?? 400);
    const fields = {
      'Attempt-Id': id,
      'Response-Signature': signatureOf(id, bytes),
      'Target-Load': this.load(),
      ...(this.isLeaving ? { 'Server-Leaving': '1' } : {}),
    };
    if (query.get('length') === 'none') {
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
      response.removeHeader('transfer-encoding');
      response.writeHead(200, { ...fields, Connection: 'close' });
      if (Math.random() < this.breakShare) {
        this.breakOff(id, response, bytes);
        return;
      }
    } else {
      response.writeHead(200, { ...fields, 'Content-Length': bytes });
    }
    writeBody(response, bytes);
  }

  /** Sends half of the body and resets the connection, as a target does that fails meanwhile. */
  breakOff(id, response, bytes) {
    this.broken.add(id);
    this.record.add(`target ${this.id} breaks off its answer to ${id}`);
    const half = Buffer.alloc(Math.floor(bytes / 2), 'a');
    response.write(half, () => response.socket?.resetAndDestroy());
  }
}

/** The whole body that belongs to a signature, as the number of its bytes. */
export function signatureOf(id, bytes) {
  const digest = createHash('sha1').update(`${id}.${bytes}`).digest('hex').slice(0, 8);
  return `${digest}.${bytes}`;
}

function sendWithoutEnd(id, response) {
  const { socket } = response;
  response.writeHead(200, { 'Attempt-Id': id, 'Transfer-Encoding': 'chunked' });
  response.flushHeaders();
  const next = () => {
    if (socket.destroyed) return;
    if (socket.write(SHORT_PIECES)) setImmediate(next);
    else socket.once('drain', next);
  };
  next();
}

function writeBody(response, bytes) {
  if (response.destroyed) return;
  if (bytes <= 0) {
    response.end();
    return;
  }
  const piece = PIECE.subarray(0, Math.min(PIECE.length, bytes));
  const next = () => writeBody(response, bytes - piece.length);
  if (response.write(piece)) setImmediate(next);
  else response.once('drain', next);
}
