/** The gRPC clients to other daemons: one per peer address, created on first use. */
import type { Host } from '@cactusrun/core';
import { PeerClient } from '@cactusrun/protocol';

export default class PeerClients {
  private readonly clients = new Map<string, PeerClient>();

  /** @param translate - maps a peer's address to the one through which this daemon reaches it */
  constructor(private readonly translate: (address: string) => string) {}

  public to(host: Pick<Host, 'peerAddress'>): PeerClient {
    const address = this.translate(host.peerAddress);
    const client = this.clients.get(address) ?? new PeerClient(address);
    this.clients.set(address, client);
    return client;
  }

  /** Closes the clients of peers that are not among the hosts. */
  public keepOnly(hosts: readonly Pick<Host, 'peerAddress'>[]): void {
    const wanted = new Set(hosts.map((host) => this.translate(host.peerAddress)));
    this.clients.forEach((client, address) => {
      if (wanted.has(address)) return;
      client.close();
      this.clients.delete(address);
    });
  }

  public close(): void {
    this.clients.forEach((client) => client.close());
    this.clients.clear();
  }
}
