import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Consumers hand in timed jobs at the usual rate until thousands wait for their time. Nothing is
 * disrupted. With TROUBLE=0 the jobs are as many and have short specs.
 */
public final class WaitingJobs {
    private static final int JOBS = 7_900;

    /** The mean of the usual traffic of pvc-kochi-grown: 108.9 a second. */
    private static final int JOBS_A_SECOND = 108;

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
        long version = 7;
        Http.Answer first =
                cell.operator("PUT", "/config", Cell.manifest(version, Json.map()), 15_000);
        if (!first.ok()) return 2;
        Cell.pause(2_000);
        cell.restartEnded(500);
        String text = "sheet 17, 4 mm float, 1200 x 800, \u20b9 1,450; ";
        // The longest spec that the protocol allows, in bytes of UTF-8.
        String spec = trouble ? text.repeat(88) : text;
        cell.log("specs of %d bytes", spec.getBytes("UTF-8").length);
        int accepted = submitJobs(cell, edge, spec);
        cell.log("%d of %d jobs accepted", accepted, JOBS);
        if (accepted < JOBS / 4) return 2;

        Cell.pause(3_000);
        Http.Answer state = cell.consumer(edge, "GET", id(1), null, 9_000);
        cell.log("the consumer reads %d %s for the first job", state.status(), state.body());
        Http.Answer read = cell.operator("GET", "/config", null, 4_000);
        long seen = Cell.versionOf(read);
        cell.log("the operator reads version %d, acknowledged was %d", seen, version);
        int often = 0;
        for (Cell.Machine machine : core) {
            cell.log("%s has ended by itself %d times, %s", machine.name, machine.ownEnds.size(),
                    machine.ownEnds);
            if (machine.ownEnds.size() >= 3) often++;
        }
        boolean isFault = often * 2 >= core.length;
        return seen >= version && state.ok() && !isFault ? 0 : 1;
    }

    private static String id(int number) {
        return String.format("%016x", 0x5c0e7a21d9000000L + number);
    }

    private static int submitJobs(Cell cell, Cell.Machine edge, String spec) throws Exception {
        String body = Jobs.timed(spec);
        AtomicInteger accepted = new AtomicInteger();
        AtomicInteger next = new AtomicInteger();
        ScheduledExecutorService pool = Executors.newScheduledThreadPool(24);
        for (int i = 0; i < JOBS; i++) {
            pool.schedule(() -> {
                int number = next.incrementAndGet();
                Map<String, String> headers = Map.of("Host", Cell.HOST, "Deadline-Ms", "3000");
                Http.Answer answer = Http.call(
                        cell.front(edge), "POST", Cell.PREFIX + id(number), headers, body, 3_000);
                if (answer.ok()) accepted.incrementAndGet();
                if (number % 500 == 0) {
                    cell.log("job %d -> %d %s, %d accepted", number, answer.status(),
                            answer.body(), accepted.get());
                }
            }, i * 1_000L / JOBS_A_SECOND, TimeUnit.MILLISECONDS);
        }
        pool.shutdown();
        pool.awaitTermination(JOBS / JOBS_A_SECOND + 4, TimeUnit.SECONDS);
        pool.shutdownNow();
        return accepted.get();
    }
}
