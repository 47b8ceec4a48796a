import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * An entry comes from another writer: its service is not named in the manifest, and its address is
 * that of a minion. Checks the rule TWICE.
 */
final class EntryOfAnotherWriter {
    private static final int MINIONS = 6;
    private static final int TASK_MS = 20_000;

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
        try (Cell cell = new Cell(journal)) {
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
            String job = "{\"spec\":\"ms=" + TASK_MS + "\",\"steps\":[{\"count\":4,\"cpu\":8000,"
                + "\"memMb\":1024,\"estimatedMs\":" + TASK_MS + ",\"antiAffinity\":1}]}";
            try (Http http = new Http()) {
                int answer = Cell.consumer(http, cell.front(0), "POST", "/plans/5c0e7a21d94b36f8", job);
                journal.line("consumer: POST of job 5c0e7a21d94b36f8: %d", answer);
                if (answer != 200) return 2;
            }
            long dueMs = journal.nowMs() + 10_000;
            while (runs.all().size() < 4 && journal.nowMs() < dueMs) Minion.sleep(20);
            if (runs.all().size() != 4) return 2;
            Minion.sleep(3_000);
            String id = runs.all().get(0).minion;
            Minion minion = minions.get(Integer.parseInt(id.substring(2)));
            if (trouble) {
                String entry = Json.write(Json.map(
                    "service", "metrics-agent", "address", "127.0.0." + (51 + Integer.parseInt(id.substring(2)))
                        + ":" + minion.port(),
                    "zone", "kochi", "version", "v1", "slots", 8, "state", "ready", "coldRemainingMs", 0,
                    "capacity", Json.map("cpu", 64_000, "memMb", 262_144, "gpu", 0),
                    "labels", List.of("a", "r1-9"), "clockMs", 17, "born", System.currentTimeMillis(),
                    "sequence", 1));
                journal.line("another writer: PUT /instances/agent-7: %s", entry);
                cell.operate("PUT", "/instances/agent-7", entry, 2_000);
            }
            Minion.sleep(6_000);
            return Overlaps.report(journal, runs.all()) > 0 ? 1 : 0;
        } finally {
            for (Minion minion : minions) minion.close();
        }
    }
}
