/* eslint-disable no-console */
import { Counters, ManualClock, silentLogger } from '@cactusrun/core';
import { ShardHealth } from '@cactusrun/health';

const clock = new ManualClock();
const health = new ShardHealth({
  service: 'stock',
  targets: ['a', 'b', 'c'],
  caution: 'swift',
  clock,
  counters: new Counters(),
  logger: silentLogger,
  isEjected: () => false,
});
health.observeAttempt('a', 'west-a').finish('answered');
console.log(health.stateOf('a', 'west-a'));
