/** The settings of one daemon: shape, units and defaults. */
import { z } from 'zod';

const address = z
  .string()
  .regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, 'an address of the form ip:port')
  .describe('ip:port');
const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'a name of lower case letters, digits, ".", "_", "-"');
const bytes = z.number().int().min(1);

export const SettingsSchema = z.strictObject({
  host: z
    .strictObject({
      name: name.describe('Name of this host, the same after a replacement.'),
      zone: name.describe('Availability zone of this host.'),
      region: name.describe('Region of this host.'),
    })
    .describe('Where this daemon runs.'),
  addresses: z
    .strictObject({
      callers: address.describe('Where callers connect (HTTP).'),
      peers: address.describe('Where other daemons connect (gRPC).'),
      heartbeats: address.describe('Heartbeats between daemons (UDP).'),
      operators: address.describe('Metrics, health, queries and changes (HTTP).'),
    })
    .describe('Addresses that this daemon listens on.'),
  platform: z
    .strictObject({
      address: address.describe("The platform's log and host list (HTTP)."),
      retentionMilliseconds: z
        .number()
        .int()
        .min(1_000)
        .default(86_400_000)
        .describe('How long the platform keeps records, in milliseconds.'),
    })
    .describe('The platform.'),
  seeds: z
    .array(address)
    .default([])
    .describe('Heartbeat addresses of daemons to join, beside those of the host list.'),
  reachedThrough: z
    .array(z.strictObject({ address, via: address }))
    .default([])
    .describe('Addresses of peers that are reached from here through another address.'),
  limits: z
    .strictObject({
      bodyBytes: bytes.default(1024 * 1024 * 1024).describe('Longest body of a request, in bytes.'),
      headerBytes: bytes.default(16 * 1024).describe('Longest head of a request, in bytes.'),
      tickets: bytes.default(50_000).describe('Used tickets remembered at most.'),
      keptAnswerBytes: bytes
        .default(32 * 1024 * 1024)
        .describe('Bytes of all kept answers together.'),
    })
    .prefault({})
    .describe('Limits of memory.'),
});

export type Settings = z.infer<typeof SettingsSchema>;
