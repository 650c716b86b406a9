/** A target whose bytes a script decides, for answers that no HTTP server would send. */
import type { Server, Socket } from 'node:net';
import { createServer } from 'node:net';

const BYTE_INTERVAL_MILLISECONDS = 5;

/** Called with each chunk of bytes that arrives on a connection. */
export type TargetScript = (socket: Socket, received: string) => void;

/** Writes a text again and again until the connection is closed. */
export type EndlessWriter = (socket: Socket, text: string) => void;

export default class ScriptedTarget {
  /** All connections so far, in the order in which they were opened. */
  public readonly sockets: Socket[] = [];

  private readonly server: Server;

  private script: TargetScript | undefined;

  constructor() {
    this.server = createServer((socket) => {
      this.sockets.push(socket);
      socket.on('error', () => {});
      socket.on('data', (bytes) => this.script?.(socket, bytes.toString()));
    });
  }

  /** Listens on a free port of the host. */
  public async start(host: string): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, host, resolve);
    });
  }

  /** Closes all connections and stops listening. */
  public async stop(): Promise<void> {
    this.sockets.forEach((socket) => socket.destroy());
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }

  public follow(script: TargetScript): void {
    this.script = script;
  }

  /** `ip:port` of the target. */
  public get address(): string {
    const { address, port } = this.server.address() as { address: string; port: number };
    return `${address}:${port}`;
  }
}

/** Writes as fast as the connection takes it. */
function writeAtFullSpeed(socket: Socket, text: string): void {
  const write = () => {
    if (socket.destroyed) return;
    if (socket.write(text)) setImmediate(write);
    else socket.once('drain', write);
  };
  write();
}

function writeByteByByte(socket: Socket, text: string): void {
  let position = 0;
  const timer = setInterval(() => {
    if (socket.destroyed) clearInterval(timer);
    else socket.write(text[position % text.length] ?? '');
    position += 1;
  }, BYTE_INTERVAL_MILLISECONDS);
}

export const ENDLESS_WRITERS: Readonly<
  Record<'at full speed' | 'a byte at a time', EndlessWriter>
> = {
  'at full speed': writeAtFullSpeed,
  'a byte at a time': writeByteByByte,
};
