import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two core machines lose their disks. A little over catchUpS after they are back, the other two
 * that the installation tolerates lose theirs. Thousands of timed jobs are waiting for their time.
 */
public final class SecondLoss {
    private static final int JOBS = 3_800;

    /** The peak of the wave of the usual traffic: 39.8 a second, swing 0.55. */
    private static final int JOBS_A_SECOND = 61;

    /** The longest that the protocol allows. */
    private static final int SPEC_BYTES = 4_000;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try (Cell cell = new Cell(args[0])) {
            status = play(cell, trouble);
            cell.log("exit status %d", status);
        }
        System.exit(status);
    }

    private static int play(Cell cell, boolean trouble) throws Exception {
        Cell.Machine[] core = new Cell.Machine[5];
        for (int i = 0; i < 5; i++) core[i] = cell.add("core-" + (i + 1), "control", i + 1);
        Cell.Machine edge = cell.add("edge-1", "entry", 10);
        cell.seeds(core[0], core[1], core[2]);
        for (Cell.Machine machine : cell.machines) cell.start(machine, true);
        Http.Answer first = cell.operator("PUT", "/config", Cell.manifest(7, Json.map()), 15_000);
        if (!first.ok()) return 2;
        Cell.pause(2_000);
        int accepted = submitJobs(cell, edge);
        cell.log("%d of %d jobs accepted", accepted, JOBS);
        if (accepted < JOBS * 9 / 10) return 2;

        if (trouble) lose(cell, List.of(core[0], core[1]));
        Cell.pause(Cell.CATCH_UP_S * 1_000L);
        long version = 12;
        Http.Answer changed =
                cell.operator("PUT", "/config", Cell.manifest(version, Json.map()), 4_000);
        if (!changed.ok()) return 2;
        Cell.pause(300);
        if (trouble) lose(cell, List.of(core[2], core[3]));

        Cell.pause(Cell.RECOVERY_S * 1_000L);
        Http.Answer read = cell.operator("GET", "/config", null, 8_000);
        long seen = Cell.versionOf(read);
        cell.log("the operator reads version %d, acknowledged was %d", seen, version);
        Http.Answer state = cell.consumer(edge, "GET", id(1), null, 6_000);
        cell.log("the consumer reads %d %s for the first job", state.status(), state.body());
        for (Cell.Machine machine : core) {
            cell.logLast(machine, "the members are now");
            cell.logLast(machine, "the quorum is lost");
        }
        return seen >= version && state.ok() ? 0 : 1;
    }

    private static void lose(Cell cell, List<Cell.Machine> lost) throws Exception {
        for (Cell.Machine machine : lost) cell.kill(machine);
        for (Cell.Machine machine : lost) cell.wipe(machine);
        Cell.pause(1_000);
        for (Cell.Machine machine : lost) cell.start(machine, false);
    }

    private static String id(int number) {
        return String.format("%016x", 0x5c0e7a21d9000000L + number);
    }

    private static int submitJobs(Cell cell, Cell.Machine edge) throws Exception {
        String body = Jobs.timed("x".repeat(SPEC_BYTES));
        AtomicInteger accepted = new AtomicInteger();
        AtomicInteger next = new AtomicInteger();
        ScheduledExecutorService pool = Executors.newScheduledThreadPool(24);
        for (int i = 0; i < JOBS; i++) {
            pool.schedule(() -> {
                String path = Cell.PREFIX + id(next.incrementAndGet());
                Map<String, String> headers = Map.of("Host", Cell.HOST, "Deadline-Ms", "3000");
                Http.Answer answer =
                        Http.call(cell.front(edge), "POST", path, headers, body, 3_000);
                if (answer.ok()) accepted.incrementAndGet();
            }, i * 1_000L / JOBS_A_SECOND, TimeUnit.MILLISECONDS);
        }
        pool.shutdown();
        pool.awaitTermination(JOBS / JOBS_A_SECOND + 10, TimeUnit.SECONDS);
        return accepted.get();
    }
}
