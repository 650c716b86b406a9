/** A client that sends requests on kept connections to a daemon and tells how each one ended. */
import { Agent, request as httpRequest } from 'node:http';
import { randomBytes } from 'node:crypto';

const SAFETY_MILLISECONDS = 1_500;

export default class Client {
  agent = new Agent({ keepAlive: true, maxSockets: 64 });

  /** Sends one client attempt under an id of its own. The promise never rejects. */
  send({ front, host, method, path, body = '', deadlineMilliseconds = 6_000, isFresh = false }) {
    const attempt = randomBytes(8).toString('hex');
    const [address, port] = front.split(':');
    const sentAt = performance.now();
    return new Promise((resolve) => {
      const end = (fields) =>
        resolve({ attempt, front, method, path, sentAt, endedAt: performance.now(), ...fields });
      const request = httpRequest({
        host: address,
        port,
        method,
        path,
        agent: isFresh ? false : this.agent,
        headers: {
          host,
          'attempt-id': attempt,
          'deadline-ms': deadlineMilliseconds,
          ...(body === '' ? {} : { 'content-length': Buffer.byteLength(body) }),
        },
      });
      const timer = setTimeout(
        () => request.destroy(new Error('deadline')),
        deadlineMilliseconds + SAFETY_MILLISECONDS,
      );
      request.on('error', (error) => {
        clearTimeout(timer);
        end({ status: 0, error: error.message });
      });
      request.on('response', (response) => {
        const parts = [];
        response.on('data', (part) => parts.push(part));
        response.on('error', () => {});
        response.on('close', () => {
          clearTimeout(timer);
          end({
            status: response.complete ? response.statusCode : 0,
            isSigned: response.headers['response-signature'] === `s.${attempt}`,
            body: Buffer.concat(parts).toString('latin1'),
          });
        });
      });
      request.end(body);
    });
  }

  close() {
    this.agent.destroy();
  }
}
