import { describe, expect, it } from 'vitest';
import type { Contract, Route } from '@cactusrun/core';
import RouteTable from '../../RouteTable.js';

function contractOf(
  service: string,
  workspace: string,
  routes: readonly Partial<Route>[],
): Contract {
  return {
    service,
    workspace,
    routes: routes.map((route) => ({
      host: '*',
      pathPrefix: '/',
      methods: [],
      requestClass: 'idempotent',
      priority: 'normal',
      isDeposit: false,
      ...route,
    })),
  } as unknown as Contract;
}

const CONTRACTS = [
  contractOf('root', 'default', [{ pathPrefix: '/' }]),
  contractOf('orders', 'default', [{ pathPrefix: '/orders' }]),
  contractOf('photos', 'default', [{ pathPrefix: '/orders/photos', methods: ['GET'] }]),
  contractOf('hosted', 'default', [{ host: 'lamps.example', pathPrefix: '/orders' }]),
  contractOf('own', 'gallery', [{ pathPrefix: '/orders' }]),
];
const table = new RouteTable(new Map(CONTRACTS.map((contract) => [contract.service, contract])));

describe('RouteTable', () => {
  it.each([
    ['default', 'x', 'GET', '/', 'root'],
    ['default', 'x', 'GET', '/orders', 'orders'],
    ['default', 'x', 'GET', '/orders?late=1', 'orders'],
    ['default', 'x', 'GET', '/orders/7/lines', 'orders'],
    ['default', 'x', 'GET', '/ordersheet', 'root'],
    ['default', 'x', 'GET', '/orders/photos/3', 'photos'],
    ['default', 'x', 'POST', '/orders/photos/3', 'orders'],
    ['default', 'lamps.example', 'GET', '/orders/7', 'hosted'],
    ['gallery', 'x', 'GET', '/orders/7', 'own'],
    ['gallery', 'x', 'GET', '/elsewhere', 'root'],
    ['unheard-of', 'x', 'GET', '/orders', 'orders'],
  ])('%s %s %s %s', (workspace, host, method, path, service) => {
    expect(table.resolve(workspace, host, method, path)?.contract.service).toBe(service);
  });

  it('finds no route if none matches', () => {
    const empty = new RouteTable(new Map([['own', CONTRACTS[4]!]]));
    expect(empty.resolve('default', 'x', 'GET', '/orders')).toBeUndefined();
  });
});
