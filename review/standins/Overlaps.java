import java.util.List;

/** The rule TWICE, as far as the journals of minions show it. */
final class Overlaps {
    private Overlaps() {
    }

    /** Reports each pair of runs of one task that worked at the same time; returns their number. */
    static int report(Journal journal, List<Minion.Run> runs) {
        int found = 0;
        long now = journal.nowMs();
        for (int i = 0; i < runs.size(); i++) {
            for (int j = i + 1; j < runs.size(); j++) {
                Minion.Run a = runs.get(i);
                Minion.Run b = runs.get(j);
                long from = Math.max(a.startMs, b.startMs);
                long until = Math.min(a.endMs < 0 ? now : a.endMs, b.endMs < 0 ? now : b.endMs);
                if (!a.task.equals(b.task) || until <= from) continue;
                found++;
                journal.line("TWICE: %s ran as run %d on %s and as run %d on %s, both from %d to %d ms",
                    a.task, a.run, a.minion, b.run, b.minion, from, until);
            }
        }
        return found;
    }
}
