import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One of two tasks that last fails, while a gang waits that doesn't fit beside them. Checks that
 * the task is started again.
 */
final class LostTask extends Case {
    private static final int MINIONS = 4;
    private static final long LASTING_CPU = 8_000;
    private static final long RESTART_MS = 6_000;
    private static final long IDLE_MS = 3_000;

    private final Map<String, Long> cpuOf = new HashMap<>();

    private LostTask(Cell cell) {
        super(cell);
    }

    public static void main(String[] args) throws Exception {
        run(args[0], 3, 2, LostTask::new);
    }

    @Override
    boolean play(boolean trouble) throws Exception {
        begin(manifest(7, List.of(route("r-plans", PLANS), route("r-stays", STAYS))), MINIONS,
            PLANS);

        String lasting = cell.newJobId();
        cpuOf.put(lasting, LASTING_CPU);
        String spec = trouble ? "lasting0 fail0=0@1@12000" : "lasting0";
        require(cell.submit(STAYS, lasting, spec, Json.map("count", 2L, "cpu", LASTING_CPU,
            "memMb", 1_024L, "longRunning", true)), "the lasting job");
        cell.require(10_000, "the lasting tasks do not run",
            () -> cell.runningOf(lasting).size() == 2);
        long startedMs = cell.nowMs();

        // Needs all processors of the minions, so it waits until the lasting job is cancelled.
        String gang = cell.newJobId();
        cpuOf.put(gang, 8_000L);
        require(cell.submit(PLANS, gang, "gang0=8 work0=1000", Json.map("count", 8L,
            "cpu", 8_000L, "memMb", 1_024L, "estimatedMs", 1_000L, "gang", true)), "the gang");
        boolean held = judge(lasting, startedMs + 32_000);
        cell.note("gang " + gang + " is " + cell.state(PLANS, gang));
        if (!held) {
            cell.note("not judged: what happens once the gang is cancelled");
            cell.cancel(PLANS, gang);
            boolean runs = cell.await(4_000, () -> cell.runningOf(lasting).size() == 2);
            cell.note("the task " + (runs ? "runs again" : "does not run"));
        }
        return held;
    }

    /**
     * The rule LOST: from 6 s after its last run, no task that lasts may have nothing running for
     * 3 s while there is capacity for it twice over.
     */
    private boolean judge(String lasting, long endMs) {
        boolean held = true;
        long[] waitsSinceMs = new long[2];
        boolean[] told = new boolean[2];
        while (cell.nowMs() < endMs) {
            Cell.sleep(100);
            long nowMs = cell.nowMs();
            for (int index = 0; index < 2; index++) {
                String task = lasting + ".0.0." + index;
                boolean runs = cell.running().stream().anyMatch(run -> run.task().equals(task));
                long lastEndMs = cell.events().stream().filter(event ->
                    event.event().equals("end") && event.task().equals(task))
                    .mapToLong(Cell.Event::atMs).max().orElse(nowMs);
                long slots = slots(LASTING_CPU, cpuOf);
                if (runs || nowMs < lastEndMs + RESTART_MS || slots < 2) {
                    waitsSinceMs[index] = 0;
                    continue;
                }
                if (waitsSinceMs[index] == 0) waitsSinceMs[index] = nowMs;
                if (nowMs - waitsSinceMs[index] <= IDLE_MS || told[index]) continue;
                told[index] = true;
                held = false;
                cell.note(String.format("LOST: task %s has not run for %d ms after its last run; "
                    + "room for %d such tasks, %.0f%% of the processors in use, the job is %s",
                    task, nowMs - lastEndMs, slots, 100 * usedShare(cpuOf),
                    cell.state(STAYS, lasting)));
            }
        }
        return held;
    }
}
