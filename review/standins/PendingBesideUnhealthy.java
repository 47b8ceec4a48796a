import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * A service is full but for one minion, which is unhealthy and refuses what it is told to start.
 * Checks what the rule MIXED says of the number of pending jobs.
 */
final class PendingBesideUnhealthy {
    private static final int MINIONS = 12;
    private static final int JOBS = 40;
    private static final int FILL_MS = 14_000;
    private static final int UNHEALTHY_MS = 6_500;

    /** visible_ms + 2 s. */
    private static final int VISIBLE_MS = 5_000;

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

    private static String job(int tasks, int cpu, int ms) {
        return "{\"spec\":\"ms=" + ms + "\",\"steps\":[{\"count\":" + tasks
            + ",\"cpu\":" + cpu + ",\"memMb\":1024,\"estimatedMs\":" + ms + "}]}";
    }

    private static int play(Journal journal, boolean trouble) throws Exception {
        Minion.Runs runs = new Minion.Runs();
        List<Minion> minions = new ArrayList<>();
        try (Cell cell = new Cell(journal); Http http = new Http()) {
            cell.start(1);
            if (!cell.putManifest(Cell.manifest(1, List.of(Cell.route("plans", "/plans/", false))), 20_000)) {
                return 2;
            }
            if (!cell.awaitReady(0, 20_000)) return 2;
            for (int i = 0; i < MINIONS; i++) {
                Minion minion = new Minion("i-" + i, "planning", "r1-" + i, "127.0.0." + (51 + i), 0, journal, runs);
                minion.join(cell.controlAddresses());
                minions.add(minion);
            }
            Minion.sleep(3_000);
            int fill = Cell.consumer(http, cell.front(0), "POST", "/plans/5c0e7a21ffffffff", job(MINIONS - 1, 64_000, FILL_MS));
            journal.line("consumer: POST of job 5c0e7a21ffffffff, which fills all minions but one: %d", fill);
            if (fill != 200 || !await(journal, runs, MINIONS - 1)) return 2;
            Set<String> used = runs.all().stream().map(run -> run.minion).collect(Collectors.toSet());
            Minion free = minions.stream().filter(minion -> !used.contains(minion.id)).findFirst().orElseThrow();
            if (trouble) {
                free.unhealthy(true);
                Thread end = new Thread(() -> {
                    Minion.sleep(UNHEALTHY_MS);
                    free.unhealthy(false);
                });
                end.setDaemon(true);
                end.start();
            }
            TreeSet<String> jobs = new TreeSet<>();
            for (int i = 0; i < JOBS; i++) jobs.add(String.format("5c0e7a21%08x", i));
            List<Integer> answers = jobs.parallelStream().map(job -> submit(journal, cell, job)).toList();
            if (answers.stream().anyMatch(answer -> answer != 200)) return 2;
            Minion.sleep(VISIBLE_MS + 100);
            boolean broken = false;
            for (int i = 0; i < 3; i++) {
                Http.Answer answer = http.call(cell.front(0), "GET", "/plans/",
                    Map.of("Host", "orders.example", "Deadline-Ms", "3000"), "", 3_000);
                Set<String> begun = runs.all().stream()
                    .map(run -> run.task.substring(0, run.task.indexOf('.'))).collect(Collectors.toSet());
                long waiting = jobs.stream().filter(job -> !begun.contains(job)).count();
                journal.line("consumer: GET of the queue: %d %s; %d jobs were accepted over %d ms before and "
                    + "haven't begun", answer.status(), answer.body(), waiting, VISIBLE_MS);
                if (answer.status() != 200) return 2;
                long pending = Json.number(Json.object(answer.body()), "pending", -1);
                if (2 * pending < waiting) {
                    broken = true;
                    journal.line("MIXED: pending is %d, under half of %d", pending, waiting);
                }
                Minion.sleep(200);
            }
            return broken ? 1 : 0;
        } finally {
            for (Minion minion : minions) minion.close();
        }
    }

    private static int submit(Journal journal, Cell cell, String job) {
        try (Http http = new Http()) {
            int answer = Cell.consumer(http, cell.front(0), "POST", "/plans/" + job, job(1, 3_000, FILL_MS));
            journal.line("consumer: POST of job %s: %d", job, answer);
            return answer;
        } catch (IOException e) {
            return 0;
        }
    }

    private static boolean await(Journal journal, Minion.Runs runs, int count) {
        long dueMs = journal.nowMs() + 10_000;
        while (runs.all().size() < count && journal.nowMs() < dueMs) Minion.sleep(20);
        return runs.all().size() == count;
    }
}
