import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A task that can never be done fails on a minion that is cut off. Checks that it gets no more runs
 * than its queue allows.
 */
final class TooManyAttempts extends Case {
    private static final int MINIONS = 8;
    private static final int MAX_ATTEMPTS = 3;
    private static final int JOBS = 3;

    /** Cuts last at most 5.5 s on the site. */
    private static final long CUT_MS = 5_500;

    private TooManyAttempts(Cell cell) {
        super(cell);
    }

    public static void main(String[] args) throws Exception {
        run(args[0], 3, 2, TooManyAttempts::new);
    }

    @Override
    boolean play(boolean trouble) throws Exception {
        begin(manifest(7, List.of(route("r-plans", PLANS))), MINIONS, PLANS);
        // The leases that minions may have from before they joined have run out by then.
        Cell.sleep(8_000);

        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String job = cell.newJobId();
            jobs.add(job);
            require(cell.submit(PLANS, job, "hopeless0=700", Json.map("count", 1L,
                "cpu", 4_000L, "memMb", 1_024L, "estimatedMs", 700L)), "the job");
        }
        cell.require(3_000, "the jobs did not start",
            () -> jobs.stream().allMatch(this::hasStarted));
        if (trouble) cutOff(jobs.get(0));
        cell.await(15_000, () -> jobs.stream().allMatch(
            job -> cell.state(PLANS, job).equals("failed")));
        // Until the minion that was cut off has listed its ends and they are taken note of.
        Cell.sleep(4_000);
        for (String job : jobs) cell.note("job " + job + " is " + cell.state(PLANS, job));
        boolean held = true;
        for (String job : jobs) held &= isWithinAttempts(job + ".0.0.0");
        return held;
    }

    private void cutOff(String job) throws IOException {
        Cell.MinionProcess minion = cell.minion(cell.runningOf(job).get(0).minion());
        cell.cut(minion);
        Cell.sleep(CUT_MS);
        cell.heal(minion);
    }

    /**
     * The rule BUDGET: no start after maxAttempts runs of the task have ended `failed`, if these
     * ends are taken note of then or later.
     */
    private boolean isWithinAttempts(String task) {
        List<Cell.Event> events = new ArrayList<>(cell.events());
        events.removeIf(event -> !event.task().equals(task));
        Map<Integer, Long> failedMs = new TreeMap<>();
        for (Cell.Event event : events) {
            boolean isNoted = event.event().equals("noted") && event.how().equals("failed");
            if (!isNoted) continue;
            events.stream().filter(end -> end.event().equals("end") && end.run() == event.run())
                .forEach(end -> failedMs.put(end.run(), end.atMs()));
        }
        List<Long> ends = new ArrayList<>(failedMs.values());
        ends.sort(Comparator.naturalOrder());
        if (ends.size() < MAX_ATTEMPTS) return true;
        long lastAllowedMs = ends.get(MAX_ATTEMPTS - 1);
        boolean held = true;
        for (Cell.Event event : events) {
            if (!event.event().equals("start") || event.atMs() <= lastAllowedMs) continue;
            held = false;
            cell.note("BUDGET: run " + event.run() + " of " + task + " starts "
                + (event.atMs() - lastAllowedMs) + " ms after the end of the failed run "
                + "number " + MAX_ATTEMPTS + "; runs that failed and are taken note of: "
                + failedMs.keySet());
        }
        return held;
    }
}
