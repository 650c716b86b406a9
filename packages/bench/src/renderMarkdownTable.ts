/** Renders a Markdown table, or `none` if there are no rows. */
export default function renderMarkdownTable(
  head: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  if (rows.length === 0) return 'none\n';
  const line = (cells: readonly (string | number)[]) => `| ${cells.join(' | ')} |`;
  return `${[line(head), line(head.map(() => '---')), ...rows.map(line)].join('\n')}\n`;
}
