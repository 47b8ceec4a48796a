import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;

/**
 * An edge machine is cut off from the core for a moment, and a manifest that drops a route is
 * acknowledged meanwhile. Checks the rule REFUSED: a job whose every attempt was rejected must not
 * run.
 */
final class RouteDroppedDuringCut {
    private static final int MINIONS = 8;
    private static final int CONSUMERS = 48;
    private static final int TASK_MS = 300;
    private static final int CUT_MS = 1_500;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try (Journal journal = new Journal(Path.of(args[0]))) {
            try {
                status = play(journal, trouble);
            } catch (IOException | RuntimeException e) {
                journal.line("the case could not run: %s", e);
                status = 2;
            }
            journal.line("exit %d", status);
        }
        System.exit(status);
    }

    private static int play(Journal journal, boolean trouble) throws Exception {
        Minion.Runs runs = new Minion.Runs();
        List<Minion> minions = new ArrayList<>();
        List<Proxy> proxies = new ArrayList<>();
        Map<String, List<Integer>> answers = new LinkedHashMap<>();
        boolean[] stop = new boolean[1];
        try (Cell cell = new Cell(journal)) {
            // The edge machine reaches each core machine through a proxy at that machine's address.
            int[] own = Cell.freePorts(1);
            for (int i = 0; i < Cell.CORES; i++) {
                proxies.add(new Proxy(Cell.coreIp(i), own[0], Cell.coreIp(i), cell.peerPort));
            }
            cell.entryPeerPort = own[0];
            cell.start(1);
            List<Map<String, Object>> routes =
                List.of(Cell.route("plans", "/plans/", false), Cell.route("quotes", "/quotes/", false));
            if (!cell.putManifest(Cell.manifest(1, routes), 20_000)) return 2;
            if (!cell.awaitReady(0, 20_000)) return 2;
            for (int i = 0; i < MINIONS; i++) {
                Minion minion = new Minion("i-" + i, "planning", "r1-" + i, "127.0.0." + (51 + i), 0, journal, runs);
                minion.join(cell.controlAddresses());
                minions.add(minion);
            }
            Minion.sleep(3_000);
            List<Thread> consumers = new ArrayList<>();
            for (int i = 0; i < CONSUMERS; i++) {
                int number = i;
                Thread thread = new Thread(() -> submit(journal, cell, number, stop, answers));
                thread.setDaemon(true);
                thread.start();
                consumers.add(thread);
            }
            Minion.sleep(1_000);
            if (trouble) {
                journal.line("edge-0 is cut off from all core machines, for %d ms", CUT_MS);
                for (Proxy proxy : proxies) proxy.cut(true, true);
            }
            long healMs = journal.nowMs() + CUT_MS;
            Minion.sleep(300);
            if (!cell.putManifest(Cell.manifest(2, routes.subList(1, 2)), 4_000)) return 2;
            while (journal.nowMs() < healMs) Minion.sleep(5);
            for (Proxy proxy : proxies) proxy.cut(false, false);
            journal.line("the cut has healed");
            Minion.sleep(4_000);
            synchronized (answers) {
                stop[0] = true;
            }
            for (Thread thread : consumers) thread.join(10_000);
            return check(journal, runs.all(), answers);
        } finally {
            for (Minion minion : minions) minion.close();
            for (Proxy proxy : proxies) proxy.close();
        }
    }

    /** A consumer: one job after the other, each attempted up to five times until it is accepted. */
    private static void submit(
            Journal journal, Cell cell, int consumer, boolean[] stop, Map<String, List<Integer>> answers) {
        String body = "{\"spec\":\"ms=" + TASK_MS + "\",\"steps\":[{\"count\":1,\"cpu\":500,"
            + "\"memMb\":64,\"estimatedMs\":" + TASK_MS + "}]}";
        Random pause = new Random(consumer);
        for (int number = 0; ; number++) {
            String job = String.format("5c0e7a21%04x%04x", consumer, number);
            synchronized (answers) {
                if (stop[0]) return;
                answers.put(job, new ArrayList<>());
            }
            for (int attempt = 0; attempt < 5; attempt++) {
                long sentMs = journal.nowMs();
                int status;
                try (Http http = new Http()) {
                    status = Cell.consumer(http, cell.front(0), "POST", "/plans/" + job, body);
                } catch (IOException e) {
                    status = 0;
                }
                synchronized (answers) {
                    answers.get(job).add(status);
                }
                if (status != 200 || number % 200 == 0) {
                    journal.line("consumer: POST of job %s sent at %d ms: %d", job, sentMs, status);
                }
                // Only an attempt without a clear answer, or turned away for now, is made again.
                if (status == 200 || status == 404 || status == 400) break;
                Minion.sleep(200);
            }
            // Consumers don't act in step with each other.
            Minion.sleep(answers.get(job).contains(404) ? 500 : pause.nextInt(20));
        }
    }

    private static int check(Journal journal, List<Minion.Run> runs, Map<String, List<Integer>> answers) {
        TreeSet<String> broken = new TreeSet<>();
        for (Minion.Run run : runs) {
            String job = run.task.substring(0, run.task.indexOf('.'));
            List<Integer> got = answers.getOrDefault(job, List.of());
            boolean rejected = !got.isEmpty()
                && got.stream().allMatch(status -> status == 404 || status == 429 || status == 503 || status == 400);
            if (rejected && broken.add(job)) {
                journal.line("REFUSED: job %s was answered %s, and run %d of %s started on %s at %d ms",
                    job, got, run.run, run.task, run.minion, run.startMs);
            }
        }
        long accepted = answers.values().stream().filter(got -> got.contains(200)).count();
        journal.line("%d jobs, %d accepted, %d broken", answers.size(), accepted, broken.size());
        return broken.isEmpty() ? 0 : 1;
    }
}
