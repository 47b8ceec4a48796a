import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A minion drains and leaves while the packets towards it are lost: its DELETE arrives, the
 * acknowledgement does not. Checks the rule TWICE.
 */
final class LeaveBehindCut {
    private static final int MINIONS = 6;
    private static final int TASK_MS = 20_000;
    private static final int CUT_MS = 5_500;

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
        try (Cell cell = new Cell(journal)) {
            cell.start(1);
            if (!cell.putManifest(Cell.manifest(1, List.of(Cell.route("plans", "/plans/", false))), 20_000)) {
                return 2;
            }
            String leader = cell.leader();
            if (leader == null || !cell.awaitReady(0, 20_000)) return 2;
            journal.line("the leader is %s", leader);
            for (int i = 0; i < MINIONS; i++) {
                Minion minion = new Minion("i-" + i, "planning", "r1-" + i, "127.0.0." + (51 + i), 0, journal, runs);
                // Both ways between this minion and the system pass through proxies.
                Proxy inward = new Proxy("127.0.0." + (51 + i), 0, "127.0.0." + (51 + i), minion.port());
                Proxy outward = new Proxy("127.0.0." + (51 + i), 0, leader.split(":")[0], cell.controlPort);
                proxies.add(inward);
                proxies.add(outward);
                minion.announce(inward.address());
                // Of the addresses that serve control, it picks that of the leader.
                minion.join(List.of(outward.address()));
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
            String id = runs.all().get(0).minion;
            int number = Integer.parseInt(id.substring(2));
            Minion leaving = minions.get(number);
            leaving.drain();
            Minion.sleep(2_200);
            Proxy inward = proxies.get(2 * number);
            Proxy outward = proxies.get(2 * number + 1);
            if (trouble) {
                journal.line("the packets towards minion %s are lost from now on, for %d ms", id, CUT_MS);
                inward.cut(true, false);
                outward.cut(false, true);
            }
            long healMs = journal.nowMs() + CUT_MS;
            Minion.sleep(100);
            leaving.leave(4_000);
            while (journal.nowMs() < healMs) Minion.sleep(20);
            inward.cut(false, false);
            outward.cut(false, false);
            Minion.sleep(3_000);
            return Overlaps.report(journal, runs.all()) > 0 ? 1 : 0;
        } finally {
            for (Minion minion : minions) minion.close();
            for (Proxy proxy : proxies) proxy.close();
        }
    }
}
