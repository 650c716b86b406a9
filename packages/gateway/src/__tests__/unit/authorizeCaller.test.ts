/** Guards against requests that run for the wrong workspace, and against keys that leak to targets. */
import { describe, expect, it } from 'vitest';
import type { HeaderFields } from '../../connections/TargetAttempt.js';
import authorizeCaller from '../../workspaces/authorizeCaller.js';
import WorkspaceKeys from '../../workspaces/WorkspaceKeys.js';

const workspace = { name: 'w', priority: undefined, quota: undefined };
const workspaces = new WorkspaceKeys([{ workspace, keys: ['secret'] }]);
const ACCEPT: HeaderFields[number] = ['accept', '*/*'];

function authorize(fields: HeaderFields, isPublic = false) {
  return authorizeCaller({ fields, isPublic, workspaces, workspaceField: 'X-Workspace' });
}

describe('authorizeCaller', () => {
  describe('without workspaces', () => {
    it('passes all fields as they are', () => {
      const fields: HeaderFields = [
        ['Authorization', 'Bearer any'],
        ['X-Workspace', 'v'],
      ];
      const query = {
        fields,
        isPublic: false,
        workspaces: undefined,
        workspaceField: 'X-Workspace',
      };
      expect(authorizeCaller(query)).toEqual({ kind: 'authorized', workspace: undefined, fields });
    });
  });

  describe('with a known key', () => {
    it('replaces the key by the name of its workspace, whatever the caller claims', () => {
      expect(
        authorize([ACCEPT, ['AUTHORIZATION', 'bearer secret'], ['x-workspace', 'other']]),
      ).toEqual({ kind: 'authorized', workspace, fields: [ACCEPT, ['X-Workspace', 'w']] });
    });

    it('names the workspace on a public route too', () => {
      expect(authorize([['Authorization', 'Bearer secret']], true)).toMatchObject({ workspace });
    });
  });

  describe('without a known key', () => {
    const unknown: readonly (readonly [string, HeaderFields])[] = [
      ['no key', [ACCEPT]],
      ['another key', [['Authorization', 'Bearer secret2']]],
      ['an empty key', [['Authorization', 'Bearer ']]],
      ['another scheme', [['Authorization', 'Basic secret']]],
      [
        'two keys',
        [
          ['Authorization', 'Bearer secret'],
          ['Authorization', 'Bearer secret'],
        ],
      ],
    ];
    unknown.forEach(([name, fields]) => {
      it(`refuses ${name}`, () => {
        expect(authorize(fields)).toEqual({ kind: 'unknown-key' });
      });
    });

    it('passes a public request without key and without the workspace that it claims', () => {
      expect(
        authorize([ACCEPT, ['Authorization', 'Bearer x'], ['X-Workspace', 'w']], true),
      ).toEqual({ kind: 'authorized', workspace: undefined, fields: [ACCEPT] });
    });
  });
});
