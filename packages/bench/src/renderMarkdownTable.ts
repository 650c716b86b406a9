/** Renders rows as a table for a page; a list without rows says so. */
export default function renderMarkdownTable(
  head: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  if (rows.length === 0) return 'none\n';
  const line = (cells: readonly (string | number)[]) => `| ${cells.join(' | ')} |`;
  return `${[line(head), line(head.map(() => '---')), ...rows.map(line)].join('\n')}\n`;
}
