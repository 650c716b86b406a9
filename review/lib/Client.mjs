/**
 * Stand-in for a client: one connection to a daemon, one request at a time on it. It reads answers
 * as HTTP/1.1 asks: a body ends by its length, by its last chunk, or, without either, with the
 * connection. A connection that is reset does not end a body.
 */
import { randomBytes } from 'node:crypto';
import { connect } from 'node:net';

const CONNECT_MILLISECONDS = 1_000;
const READ_INTERVAL_MILLISECONDS = 20;

export default class Client {
  /**
   * @param bytesPerSecond - how fast the client reads; undefined for as fast as possible
   */
  constructor(address, record, bytesPerSecond) {
    Object.assign(this, { address, record, bytesPerSecond });
    this.isOpen = false;
  }

  async open() {
    const [host, port] = this.address.split(':');
    this.socket = connect({ host, port: Number(port), noDelay: true });
    await new Promise((resolve, reject) => {
      const timer = setTimeout(() => reject(new Error('no connection')), CONNECT_MILLISECONDS);
      this.socket.once('error', reject);
      this.socket.once('connect', () => {
        clearTimeout(timer);
        resolve();
      });
    });
    this.socket.removeAllListeners('error');
    this.isOpen = true;
    this.socket.on('error', (error) => this.close(error.code === 'ECONNRESET' ? 'reset' : 'error'));
    this.socket.on('end', () => this.close(wasReset(this.socket) ? 'reset' : 'fin'));
    this.socket.on('close', () => this.close('fin'));
    if (this.bytesPerSecond === undefined) {
      this.socket.on('data', (bytes) => this.read(bytes));
      return this;
    }
    this.socket.pause();
    const size = Math.ceil((this.bytesPerSecond * READ_INTERVAL_MILLISECONDS) / 1_000);
    this.timer = setInterval(() => this.readSome(size), READ_INTERVAL_MILLISECONDS);
    return this;
  }

  /** Reads at most so many bytes; the rest stays in the network. */
  readSome(size) {
    let left = size;
    while (left > 0) {
      const bytes = this.socket.read(Math.min(left, this.socket.readableLength || left));
      if (bytes === null) return;
      left -= bytes.length;
      this.read(bytes);
    }
  }

  /** Sends a request; resolves with what came of it. */
  send({ method, host, path, fields = {}, body, deadline }) {
    const id = randomBytes(8).toString('hex');
    this.exchange = {
      id,
      sentAt: this.record.now(),
      head: undefined,
      buffer: Buffer.alloc(0),
      bodyBytes: 0,
    };
    const lines = [
      `${method} ${path} HTTP/1.1`,
      `Host: ${host}`,
      `Attempt-Id: ${id}`,
      `Deadline-Ms: ${deadline}`,
      ...Object.entries(fields).map(([name, value]) => `${name}: ${value}`),
      ...(body === undefined ? [] : [`Content-Length: ${body.length}`]),
    ];
    this.record.add(`client sends ${id} ${method} ${path} to ${this.address}`);
    this.socket.write(`${lines.join('\r\n')}\r\n\r\n`);
    if (body !== undefined) this.socket.write(body);
    return new Promise((resolve) => {
      this.exchange.resolve = resolve;
      this.exchange.timer = setTimeout(() => {
        this.settle('gave up at its deadline', false);
        this.leave();
      }, deadline);
      if (!this.isOpen) this.settle('connection was closed', false);
    });
  }

  /** Closes the connection. */
  leave() {
    clearInterval(this.timer);
    this.isOpen = false;
    this.socket.destroy();
  }

  close(how) {
    if (!this.isOpen) return;
    this.isOpen = false;
    clearInterval(this.timer);
    const { exchange } = this;
    if (exchange === undefined) return;
    const isUnframed = exchange.head !== undefined && exchange.framing === 'end';
    const ending = how === 'fin' ? 'connection ended' : `connection ${how}`;
    this.settle(ending, isUnframed && how === 'fin');
  }

  read(bytes) {
    const { exchange } = this;
    if (exchange === undefined) return;
    if (exchange.head !== undefined) {
      this.readBody(bytes);
      return;
    }
    exchange.buffer = Buffer.concat([exchange.buffer, bytes]);
    const end = exchange.buffer.indexOf('\r\n\r\n');
    if (end < 0) return;
    const rest = exchange.buffer.subarray(end + 4);
    readHead(exchange, exchange.buffer.subarray(0, end).toString('latin1'));
    exchange.buffer = Buffer.alloc(0);
    this.readBody(rest);
  }

  readBody(bytes) {
    const { exchange } = this;
    if (exchange.framing !== 'chunks') {
      exchange.bodyBytes += bytes.length;
      if (exchange.bodyBytes === exchange.length) this.settle('whole', true);
      return;
    }
    exchange.buffer = Buffer.concat([exchange.buffer, bytes]);
    if (readChunks(exchange)) this.settle('whole', true);
  }

  /** @param looksWhole - whether the answer is complete as HTTP/1.1 asks */
  settle(ending, looksWhole) {
    const { exchange } = this;
    if (exchange?.resolve === undefined) return;
    this.exchange = undefined;
    clearTimeout(exchange.timer);
    const { id, sentAt, head, bodyBytes } = exchange;
    const result = {
      id,
      sentAt,
      endedAt: this.record.now(),
      status: head?.status,
      fields: head?.fields ?? {},
      bodyBytes,
      ending,
      looksWhole,
    };
    const status = head === undefined ? 'no answer' : head.status;
    const complete = looksWhole ? 'complete' : 'incomplete';
    this.record.add(`client got ${id}: ${status}, ${bodyBytes} B, ${complete} (${ending})`);
    if (result.fields.connection === 'close' && looksWhole) this.leave();
    exchange.resolve(result);
  }
}

/**
 * Whether a connection that has ended was reset. When bytes and a reset arrive together, Node reports
 * the end of a stream in place of the reset; but a connection that was reset has no peer any more.
 */
function wasReset(socket) {
  const { _handle: handle } = socket;
  return handle !== null && handle.getpeername({}) !== 0;
}

function readHead(exchange, text) {
  const [first, ...lines] = text.split('\r\n');
  const fields = Object.fromEntries(
    lines.map((line) => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  Object.assign(exchange, { head: { status: Number(first.split(' ')[1]), fields } });
  if (fields['transfer-encoding'] === 'chunked') {
    Object.assign(exchange, { framing: 'chunks', chunkLeft: 0, needsBreak: false });
  } else if (fields['content-length'] !== undefined) {
    Object.assign(exchange, { framing: 'length', length: Number(fields['content-length']) });
  } else {
    Object.assign(exchange, { framing: 'end' });
  }
}

/** Reads what is there of a chunked body; returns whether it has ended. */
function readChunks(exchange) {
  for (;;) {
    if (exchange.chunkLeft > 0) {
      const taken = Math.min(exchange.chunkLeft, exchange.buffer.length);
      exchange.bodyBytes += taken;
      exchange.chunkLeft -= taken;
      exchange.buffer = exchange.buffer.subarray(taken);
      if (exchange.chunkLeft > 0) return false;
      exchange.needsBreak = true;
    }
    const start = exchange.needsBreak ? 2 : 0;
    const end = exchange.buffer.indexOf('\r\n', start);
    if (end < 0) return false;
    const size = parseInt(exchange.buffer.subarray(start, end).toString('latin1'), 16);
    if (size === 0) return exchange.buffer.length >= end + 4;
    exchange.buffer = exchange.buffer.subarray(end + 2);
    exchange.chunkLeft = size;
    exchange.needsBreak = false;
  }
}
