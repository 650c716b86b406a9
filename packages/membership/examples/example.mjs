/* eslint-disable no-console */
import { Counters, createRandom, ManualClock, silentLogger } from '@cactusrun/core';
import { Membership } from '@cactusrun/membership';

const host = {
  name: 'host-1',
  incarnation: 'one',
  zone: 'west-a',
  region: 'west',
  callerAddress: '127.0.0.1:8080',
  peerAddress: '127.0.0.1:7401',
  heartbeatAddress: '127.0.0.1:7402',
};
const membership = new Membership({
  self: host,
  seeds: () => [],
  clock: new ManualClock(),
  random: createRandom(1),
  transport: { send: () => {}, listen: () => {} },
  counters: new Counters(),
  logger: silentLogger,
});
console.log(membership.serving().map((member) => member.host.name));
