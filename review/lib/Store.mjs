/**
 * Stand-in for the platform's store: keyed topics with one partition each. It loses nothing, answers
 * at once and keeps the whole history. While it is down it accepts calls and answers none, and it
 * never answers them later.
 */
import { createServer } from 'node:http';

export default class Store {
  constructor() {
    /** `up` or `silent`. */
    this.mode = 'up';
    this.topics = new Map();
    this.sockets = new Set();
    /** Waits for the next read of a topic. */
    this.readers = [];
    /** Calls in progress by topic, and when the last one of each topic ended. */
    this.inProgress = new Map();
    this.lastEndAt = new Map();
    this.server = createServer((request, response) => this.receive(request, response));
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

  /** Number of calls for a topic that have not ended. */
  countInProgress(topicName) {
    return this.inProgress.get(topicName) ?? 0;
  }

  /** Milliseconds since a call for a topic ended. */
  sinceLastEnd(topicName) {
    return performance.now() - (this.lastEndAt.get(topicName) ?? 0);
  }

  /** Waits until a daemon's next read of a topic arrives. */
  whenRead(topicName) {
    return new Promise((resolve) => {
      this.readers.push({ topicName, resolve });
    });
  }

  noteRead(url, response) {
    const topicName = url.searchParams.get('topic');
    this.inProgress.set(topicName, this.countInProgress(topicName) + 1);
    response.once('close', () => {
      this.inProgress.set(topicName, this.countInProgress(topicName) - 1);
      this.lastEndAt.set(topicName, performance.now());
    });
    const isMeant = (reader) => reader.topicName === topicName;
    const notified = this.readers.filter(isMeant);
    this.readers = this.readers.filter((reader) => !isMeant(reader));
    notified.forEach(({ resolve }) => resolve());
  }

  /** Appends a record; without a value it drops the key. */
  put(topicName, key, value) {
    const bytes = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
    const name = Buffer.from(key);
    this.append(topicName, Buffer.concat([Buffer.from([name.length]), name, bytes]));
  }

  append(topicName, content) {
    const topic = this.topic(topicName);
    const keyLength = content[0];
    const key = content.subarray(1, 1 + keyLength).toString('utf8');
    const value = content.subarray(1 + keyLength);
    if (value.length === 0) topic.newest.delete(key);
    else topic.newest.set(key, { value, offset: topic.records.length });
    topic.records.push(content);
    const { waiting } = topic;
    topic.waiting = [];
    waiting.forEach((answer) => answer());
  }

  topic(name) {
    const known = this.topics.get(name);
    if (known !== undefined) return known;
    const created = { records: [], newest: new Map(), waiting: [] };
    this.topics.set(name, created);
    return created;
  }

  receive(request, response) {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('error', () => {});
    request.on('end', () => {
      const url = new URL(request.url, 'http://store');
      this.noteRead(url, response);
      if (this.mode === 'silent') return;
      this.serve(url, Buffer.concat(chunks), response);
    });
  }

  serve(url, body, response) {
    const query = url.searchParams;
    const topicName = query.get('topic') ?? '';
    if (url.pathname === '/cactusrun/log-newest') this.serveNewest(topicName, response);
    else if (url.pathname === '/cactusrun/log-read') this.serveRead(topicName, query, response);
    else if (url.pathname === '/cactusrun/log-append') this.serveAppend(topicName, body, response);
    else response.writeHead(404).end();
  }

  serveNewest(topicName, response) {
    const { newest, records } = this.topic(topicName);
    const items = [...newest].map(([key, { value, offset }]) => ({
      key,
      value: value.toString('base64'),
      offset,
    }));
    sendJson(response, { items, has_more: false, end_offset: records.length });
  }

  serveRead(topicName, query, response) {
    const topic = this.topic(topicName);
    const from = Number(query.get('start_key'));
    const answer = () => {
      if (this.mode === 'silent' || response.writableEnded) return;
      const head = Buffer.alloc(16);
      head.writeBigUInt64BE(BigInt(topic.records.length), 0);
      const framed = topic.records.slice(from).flatMap((record) => {
        const length = Buffer.alloc(4);
        length.writeUInt32BE(record.length);
        return [length, record];
      });
      response.writeHead(200).end(Buffer.concat([head, ...framed]));
    };
    if (from < topic.records.length) {
      answer();
      return;
    }
    topic.waiting.push(answer);
    setTimeout(answer, Number(query.get('wait_ms') ?? 0)).unref();
  }

  serveAppend(topicName, body, response) {
    if (topicName === 'keyed.op' || topicName === 'keyed.servers') {
      response.writeHead(403).end();
      return;
    }
    const offset = this.topic(topicName).records.length;
    let rest = body;
    while (rest.length > 0) {
      const end = 4 + rest.readUInt32BE(0);
      this.append(topicName, rest.subarray(4, end));
      rest = rest.subarray(end);
    }
    sendJson(response, { offset, end_offset: this.topic(topicName).records.length });
  }
}

function sendJson(response, value) {
  response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(value));
}
