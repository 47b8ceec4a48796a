import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Minions go down silently for a moment and start again under the id that they had. Checks the rule
 * TWICE.
 */
final class BackUnderOldId {
    private static final int MINIONS = 8;
    private static final int CONSUMERS = 48;
    private static final int CRASHES = 8;
    private static final int DOWN_MS = 150;

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
        List<DarkProxy> proxies = new ArrayList<>();
        boolean[] stop = new boolean[1];
        try (Cell cell = new Cell(journal)) {
            cell.start(1);
            if (!cell.putManifest(Cell.manifest(1, List.of(Cell.route("plans", "/plans/", false))), 20_000)) {
                return 2;
            }
            if (!cell.awaitReady(0, 20_000)) return 2;
            for (int i = 0; i < MINIONS; i++) {
                Minion minion = minion(i, journal, runs);
                DarkProxy proxy = new DarkProxy("127.0.0." + (51 + i), minion.port());
                minion.announce(proxy.address());
                minion.join(cell.controlAddresses());
                minions.add(minion);
                proxies.add(proxy);
            }
            Minion.sleep(3_000);
            for (int i = 0; i < CONSUMERS; i++) {
                int number = i;
                Thread thread = new Thread(() -> submit(cell, number, stop));
                thread.setDaemon(true);
                thread.start();
            }
            Minion.sleep(2_000);
            Random random = new Random(1);
            for (int crash = 0; crash < CRASHES; crash++) {
                // The minion that was given the last start.
                List<Minion.Run> all = runs.all();
                int victim = Integer.parseInt(all.get(all.size() - 1).minion.substring(2));
                if (trouble) {
                    journal.line("minion i-%d goes down silently for %d ms", victim, DOWN_MS);
                    proxies.get(victim).down();
                    minions.get(victim).end("lost with its minion");
                    Minion.sleep(DOWN_MS);
                    Minion again = minion(victim, journal, runs);
                    proxies.get(victim).back(again.port());
                    again.announce(proxies.get(victim).address());
                    again.join(cell.controlAddresses());
                    minions.set(victim, again);
                    journal.line("minion i-%d is back under its id", victim);
                }
                Minion.sleep(1_800 + random.nextInt(500));
            }
            stop[0] = true;
            Minion.sleep(1_000);
            return Overlaps.report(journal, runs.all()) > 0 ? 1 : 0;
        } finally {
            stop[0] = true;
            for (Minion minion : minions) minion.close();
            for (DarkProxy proxy : proxies) proxy.close();
        }
    }

    private static Minion minion(int number, Journal journal, Minion.Runs runs) throws IOException {
        return new Minion(
            "i-" + number, "planning", "r1-" + number, "127.0.0." + (51 + number), 0, journal, runs);
    }

    private static void submit(Cell cell, int consumer, boolean[] stop) {
        Random random = new Random(consumer);
        for (int number = 0; !stop[0]; number++) {
            String job = String.format("5c0e7a21%04x%04x", consumer, number);
            String body = "{\"spec\":\"ms=" + (300 + random.nextInt(700)) + "\",\"steps\":[{\"count\":1,"
                + "\"cpu\":2000,\"memMb\":64,\"estimatedMs\":600}]}";
            try (Http http = new Http()) {
                Cell.consumer(http, cell.front(0), "POST", "/plans/" + job, body);
            } catch (IOException e) {
                // The consumer goes on with its next job.
            }
            Minion.sleep(300 + random.nextInt(400));
        }
    }
}
