import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A minion crashes with small jobs on it, in a cell that is mostly idle and in which a gang waits
 * that doesn't fit beside a task that lasts. Checks that the small jobs run again.
 */
final class StarvedJobs extends Case {
    private static final int MINIONS = 8;
    private static final long FINISH_MS = 14_000;
    private static final long IDLE_MS = 3_000;
    private static final long SMALL_CPU = 6_000;
    private static final long LASTING_CPU = 8_000;

    /** A crash lasts at most 4.5 s on the site. */
    private static final long CRASH_MS = 3_500;

    private final Map<String, Long> cpuOf = new HashMap<>();
    private final List<String> jobs = new ArrayList<>();

    private StarvedJobs(Cell cell) {
        super(cell);
    }

    public static void main(String[] args) throws Exception {
        run(args[0], 3, 2, StarvedJobs::new);
    }

    @Override
    boolean play(boolean trouble) throws Exception {
        cell.decisionMs = 13.3;
        cell.perWorkerMs = 0.13;
        List<?> routes =
            List.of(routeWithAdvice("r-plans", PLANS, 13.3, 0.13), route("r-stays", STAYS));
        begin(manifest(7, routes), MINIONS, PLANS);

        String lasting = cell.newJobId();
        cpuOf.put(lasting, LASTING_CPU);
        require(cell.submit(STAYS, lasting, "lasting0", Json.map("count", 1L, "cpu", LASTING_CPU,
            "memMb", 1_024L, "longRunning", true)), "the lasting job");
        cell.require(10_000, "the lasting task does not run", () -> hasStarted(lasting));

        // Needs all processors of the minions, so it waits until the lasting job is cancelled.
        String gang = cell.newJobId();
        cpuOf.put(gang, 8_000L);
        require(cell.submit(PLANS, gang, "gang0=16 work0=1000", Json.map("count", 16L,
            "cpu", 8_000L, "memMb", 1_024L, "estimatedMs", 1_000L, "gang", true)), "the gang");
        Cell.sleep(10_000);

        for (int i = 0; i < 4; i++) {
            String job = cell.newJobId();
            jobs.add(job);
            cpuOf.put(job, SMALL_CPU);
            require(cell.submit(PLANS, job, "work0=1000", Json.map("count", 1L,
                "cpu", SMALL_CPU, "memMb", 1_024L, "estimatedMs", 700L)), "a small job");
        }
        long trafficEndMs = cell.nowMs();
        cell.require(5_000, "the small jobs did not start",
            () -> jobs.stream().allMatch(this::hasStarted));
        if (trouble) crash(lasting);
        boolean held = judge(trafficEndMs);
        for (String job : jobs) cell.note("job " + job + " is " + cell.state(PLANS, job));
        cell.note("gang " + gang + " is " + cell.state(PLANS, gang));
        if (!held) {
            cell.note("not judged: what happens once the gang is cancelled");
            cell.cancel(PLANS, gang);
            cell.await(4_000, () -> jobs.stream().allMatch(this::isDone));
            for (String job : jobs) cell.note("job " + job + " is " + cell.state(PLANS, job));
        }
        return held;
    }

    /** Kills the minion that runs most of the jobs, but not the one with the lasting task. */
    private void crash(String lasting) throws IOException {
        String spared = cell.runningOf(lasting).get(0).minion();
        Cell.MinionProcess victim = null;
        long most = 0;
        for (Cell.MinionProcess minion : cell.minions) {
            long count = cell.running().stream().filter(run -> run.minion().equals(minion.id)
                && jobs.contains(run.task().substring(0, 16))).count();
            if (!minion.id.equals(spared) && count > most) {
                most = count;
                victim = minion;
            }
        }
        if (victim == null) throw new Cell.CannotRun("no other minion runs small jobs");
        cell.killMinion(victim);
        Cell.sleep(CRASH_MS);
        cell.startMinion(victim.slot);
    }

    /**
     * The rule LOST: from finish_s after the end of the traffic, no job may have nothing running
     * for 3 s while its turn has come, there is capacity for it twice over, and under half of the
     * service's capacity is in use.
     */
    private boolean judge(long trafficEndMs) {
        boolean held = true;
        long fromMs = trafficEndMs + FINISH_MS;
        long endMs = fromMs + IDLE_MS + 3_000;
        Map<String, Long> idleSinceMs = new HashMap<>();
        List<String> broken = new ArrayList<>();
        Cell.sleep(fromMs - cell.nowMs());
        while (cell.nowMs() < endMs) {
            Cell.sleep(100);
            long nowMs = cell.nowMs();
            double share = usedShare(cpuOf);
            long slots = slots(SMALL_CPU, cpuOf);
            for (String job : jobs) {
                boolean waits = !isDone(job) && cell.runningOf(job).isEmpty()
                    && slots >= 2 && share < 0.5;
                if (!waits) {
                    idleSinceMs.remove(job);
                    continue;
                }
                long idleMs = nowMs - idleSinceMs.computeIfAbsent(job, key -> nowMs);
                if (idleMs <= IDLE_MS || broken.contains(job)) continue;
                broken.add(job);
                held = false;
                cell.note(String.format("LOST: job %s has had nothing running for %d ms, which "
                    + "began no sooner than %d ms after the end of the traffic; room for %d of "
                    + "its task, %.0f%% of the processors in use", job, idleMs, FINISH_MS, slots,
                    100 * share));
            }
        }
        return held;
    }
}
