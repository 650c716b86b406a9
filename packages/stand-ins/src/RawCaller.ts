/** A caller's connection on which raw bytes are sent, and what comes back on it. */
import type { Socket } from 'node:net';
import { connect } from 'node:net';

/** How the other side ended the connection; a reset shows as one if it came by itself. */
export type ConnectionEnding = 'open' | 'ended' | 'reset';

export default class RawCaller {
  /** All bytes so far, one character each. */
  public received = '';

  public ending: ConnectionEnding = 'open';

  private constructor(private readonly socket: Socket) {
    socket.on('data', (bytes: Buffer) => {
      this.received += bytes.toString('latin1');
    });
    socket.on('end', () => {
      this.ending = 'ended';
    });
    socket.on('error', () => {
      this.ending = 'reset';
    });
  }

  /** @param address - `ip:port` to connect to */
  public static async open(address: string): Promise<RawCaller> {
    const [host, port] = address.split(':');
    const socket = connect({ host: host ?? '', port: Number(port) });
    const caller = new RawCaller(socket);
    await new Promise<void>((resolve) => {
      socket.once('connect', resolve);
    });
    return caller;
  }

  public write(text: string): void {
    this.socket.write(text, 'latin1');
  }

  public close(): void {
    this.socket.destroy();
  }

  /** Whether the other side has ended the connection. */
  public get hasEnded(): boolean {
    return this.ending !== 'open';
  }
}
