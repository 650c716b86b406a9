/** Vitest reporter whose last line CI parses: `N passed, N failed`, with `, N skipped` if any. */
export default class CountReporter {
  onFinished(files = []) {
    const counts = { pass: 0, fail: 0, skip: 0 };
    const visit = (task) => {
      if (task.type === 'suite') {
        task.tasks.forEach(visit);
        return;
      }
      const state = task.result?.state ?? 'skip';
      counts[state === 'pass' || state === 'fail' ? state : 'skip'] += 1;
    };
    files.forEach((file) => {
      file.tasks.forEach(visit);
      if (file.result?.state === 'fail' && file.tasks.length === 0) counts.fail += 1;
    });
    const skipped = counts.skip > 0 ? `, ${counts.skip} skipped` : '';
    process.on('exit', () => {
      process.stdout.write(`\n${counts.pass} passed, ${counts.fail} failed${skipped}\n`);
    });
  }
}
