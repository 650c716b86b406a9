/**
 * A small stand-in for the platform's store: keyed topics with one partition each, read with
 * log-read (long polls), log-newest and written with log-append. It answers after a fixed delay and
 * loses nothing.
 */
import { createServer } from 'node:http';

const ITEMS_PER_PAGE = 500;

class Topic {
  records = [];

  newest = new Map();

  waiters = new Set();

  append(content) {
    const offset = this.records.length;
    this.records.push(content);
    const keyLength = content[0];
    const key = content.subarray(1, 1 + keyLength).toString('utf8');
    const value = content.subarray(1 + keyLength);
    if (value.length === 0) this.newest.delete(key);
    else this.newest.set(key, { value, offset });
    const { waiters } = this;
    this.waiters = new Set();
    waiters.forEach((wake) => wake());
    return offset;
  }
}

export default class Store {
  topics = new Map();

  /** Called with the caller's address, topic and kind of each call when it is executed. */
  onCall = () => {};

  /** Delay of each way between a daemon and the store. */
  constructor(oneWayMilliseconds = 2) {
    this.oneWayMilliseconds = oneWayMilliseconds;
    this.server = createServer((request, response) => this.receive(request, response));
    this.server.keepAliveTimeout = 60_000;
  }

  async start(host, port) {
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    this.address = `${host}:${port}`;
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  topic(name) {
    if (!this.topics.has(name)) this.topics.set(name, new Topic());
    return this.topics.get(name);
  }

  /** Writes a key of a keyed topic; undefined removes it. What is written here is acknowledged. */
  put(topic, key, value) {
    const keyBytes = Buffer.from(key);
    const bytes = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
    this.topic(topic).append(Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, bytes]));
  }

  receive(request, response) {
    const parts = [];
    request.on('data', (part) => parts.push(part));
    request.on('end', () => {
      const run = () => this.execute(request, response, Buffer.concat(parts));
      setTimeout(run, this.oneWayMilliseconds);
    });
  }

  execute(request, response, body) {
    const url = new URL(request.url, 'http://store');
    const topic = this.topic(url.searchParams.get('topic') ?? '');
    this.onCall(request.socket.remoteAddress, url);
    const answer = (status, bytes, type) => {
      const send = () => {
        if (response.destroyed) return;
        response.writeHead(status, { 'content-type': type, 'content-length': bytes.length });
        response.end(bytes);
      };
      setTimeout(send, this.oneWayMilliseconds);
    };
    const json = (value, status = 200) =>
      answer(status, Buffer.from(JSON.stringify(value)), 'application/json');
    if (url.pathname === '/cactusrun/log-newest') {
      const after = url.searchParams.get('after') ?? '';
      const keys = [...topic.newest.keys()].sort().filter((key) => key > after);
      const items = keys.slice(0, ITEMS_PER_PAGE).map((key) => {
        const { value, offset } = topic.newest.get(key);
        return { key, value: value.toString('base64'), offset };
      });
      json({
        items,
        has_more: keys.length > ITEMS_PER_PAGE,
        end_offset: topic.records.length,
      });
    } else if (url.pathname === '/cactusrun/log-read') {
      this.read(topic, url.searchParams, answer);
    } else if (url.pathname === '/cactusrun/log-append') {
      const offset = topic.records.length;
      let position = 0;
      while (position < body.length) {
        const length = body.readUInt32BE(position);
        topic.append(body.subarray(position + 4, position + 4 + length));
        position += 4 + length;
      }
      json({ offset, end_offset: topic.records.length });
    } else {
      json({}, 404);
    }
  }

  read(topic, query, answer) {
    const from = Number(query.get('start_key'));
    const wait = Number(query.get('wait_ms') ?? 0);
    const respond = () => {
      const head = Buffer.alloc(16);
      head.writeBigUInt64BE(BigInt(topic.records.length), 0);
      const framed = topic.records.slice(from).flatMap((content) => {
        const length = Buffer.alloc(4);
        length.writeUInt32BE(content.length);
        return [length, content];
      });
      answer(200, Buffer.concat([head, ...framed]), 'application/octet-stream');
    };
    if (from < topic.records.length || wait === 0) {
      respond();
      return;
    }
    let timer;
    const wake = () => {
      clearTimeout(timer);
      topic.waiters.delete(wake);
      respond();
    };
    timer = setTimeout(wake, wait);
    topic.waiters.add(wake);
  }
}
