import { describe, expect, it } from 'vitest';
import parseAddress from '../../parseAddress.js';

const OTHER_VALUES: readonly unknown[] = [undefined, null, 7, {}, [], ['127.0.0.1:80'], true];

const OTHER_TEXTS: readonly string[] = [
  '',
  ':',
  '127.0.0.1',
  '127.0.0.1:',
  '127.0.0.1:0',
  '127.0.0.1:65536',
  '127.0.0.1:99999',
  '127.0.0.1:100000',
  '127.0.0.1:-1',
  '127.0.0.1:+80',
  '127.0.0.1:080',
  '127.0.0.1:8e1',
  '127.0.0.1:80.0',
  '127.0.0.1:80 ',
  ' 127.0.0.1:80',
  '127.0.0.1:80\n',
  '127.0.0.1:80:80',
  '127.0.0.1:80/path',
  '256.0.0.1:80',
  '999.1.1.1:80',
  '127.0.0.300:80',
  '127.0.0:80',
  '127.0.0.0.1:80',
  '127.0.0.01:80',
  '0x7f.0.0.1:80',
  'host:80',
  '[::1]:80',
  '١٢٧.0.0.1:80',
];

// An address that no socket takes makes Node throw where it is used, long after it was read.
describe('parseAddress', () => {
  describe('an IPv4 address with a port', () => {
    [
      { text: '127.0.0.1:80', host: '127.0.0.1', port: 80 },
      { text: '0.0.0.0:1', host: '0.0.0.0', port: 1 },
      { text: '255.255.255.255:65535', host: '255.255.255.255', port: 65_535 },
      { text: '10.20.99.200:10000', host: '10.20.99.200', port: 10_000 },
    ].forEach(({ text, host, port }) => {
      it(`is read from ${text}`, () => {
        expect(parseAddress(text)).toEqual({ host, port });
      });
    });
  });

  describe('any other text', () => {
    OTHER_TEXTS.forEach((text) => {
      it(`is refused: ${JSON.stringify(text)}`, () => {
        expect(parseAddress(text)).toBeUndefined();
      });
    });
  });

  describe('a value that is no text', () => {
    OTHER_VALUES.forEach((value) => {
      it(`is refused: ${JSON.stringify(value)}`, () => {
        expect(parseAddress(value)).toBeUndefined();
      });
    });
  });
});
