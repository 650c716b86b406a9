/** Finds free ports on loopback addresses. */
import { createSocket } from 'node:dgram';
import { createServer } from 'node:net';

const ATTEMPTS = 200;
const FIRST_PORT = 20_000;
const LAST_PORT = 32_000;

/** Ports, `length` in a row, that are free on all addresses for TCP and UDP. */
export default async function findPorts(addresses, length, taken) {
  for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
    const first = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
    const ports = Array.from({ length }, (_, index) => first + index);
    const areNew = ports.every((port) => !taken.has(port));
    const free = areNew && (await areFree(addresses, ports));
    if (free) {
      ports.forEach((port) => taken.add(port));
      return first;
    }
  }
  throw new Error('no free ports');
}

async function areFree(addresses, ports) {
  const checks = addresses.flatMap((address) =>
    ports.flatMap((port) => [isTcpFree(address, port), isUdpFree(address, port)]),
  );
  return (await Promise.all(checks)).every(Boolean);
}

function isTcpFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen({ host, port }, () => server.close(() => resolve(true)));
  });
}

function isUdpFree(host, port) {
  return new Promise((resolve) => {
    const socket = createSocket('udp4');
    socket.once('error', () => resolve(false));
    socket.bind(port, host, () => socket.close(() => resolve(true)));
  });
}
