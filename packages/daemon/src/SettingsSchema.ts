/** Schema of a daemon's settings, with units and defaults. */
import { z } from 'zod';

const address = z
  .string()
  .regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, 'an address of the form ip:port')
  .describe('ip:port');
const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'a name of lower case letters, digits, ".", "_", "-"');
/** In less time, no request could be refused and told so. */
export const MINIMUM_GRACE_MILLISECONDS = 500;
const bytes = z.number().int().min(1);

export const SettingsSchema = z.strictObject({
  host: z
    .strictObject({
      name: name.describe('Name of this host, unchanged when the host is replaced.'),
      zone: name.describe('Availability zone of this host.'),
      region: name.describe('Region of this host.'),
    })
    .describe('Host that this daemon runs on.'),
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
    .describe('Heartbeat addresses of daemons to join, in addition to those in the host list.'),
  reachedThrough: z
    .array(z.strictObject({ address, via: address }))
    .default([])
    .describe('Addresses of peers that this daemon reaches through another address.'),
  shutdown: z
    .strictObject({
      graceMilliseconds: z
        .number()
        .int()
        .min(MINIMUM_GRACE_MILLISECONDS)
        .default(30_000)
        .describe('Time from SIGTERM until the process is killed, in milliseconds.'),
    })
    .prefault({})
    .describe('Graceful shutdown.'),
  limits: z
    .strictObject({
      bodyBytes: bytes
        .default(1024 * 1024 * 1024)
        .describe('Maximum length of a request body, in bytes.'),
      headerBytes: bytes
        .default(16 * 1024)
        .describe("Maximum length of a request's header section, in bytes."),
      tickets: bytes.default(50_000).describe('Maximum number of used tickets to remember.'),
      keptAnswerBytes: bytes
        .default(32 * 1024 * 1024)
        .describe('Maximum total size of stored answers, in bytes.'),
    })
    .prefault({})
    .describe('Memory limits.'),
});

export type Settings = z.infer<typeof SettingsSchema>;
