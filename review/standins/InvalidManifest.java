import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * Manifests arrive with one damaged byte, so that they are no JSON. Checks the rule CONFIG: what is
 * invalid is refused and never in force.
 */
final class InvalidManifest {
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

    private static String damaged(int version, List<Map<String, Object>> routes, String from, String to) {
        String manifest = Cell.manifest(version, routes);
        if (!manifest.contains(from)) throw new IllegalStateException("no " + from + " in the manifest");
        return manifest.replace(from, to);
    }

    private static int play(Journal journal, boolean trouble) throws Exception {
        List<Map<String, Object>> two =
            List.of(Cell.route("plans", "/plans/", false), Cell.route("quotes", "/quotes/", false));
        List<Map<String, Object>> one = two.subList(0, 1);
        try (Cell cell = new Cell(journal); Http http = new Http()) {
            cell.start(1);
            if (!cell.putManifest(Cell.manifest(1, two), 20_000) || !cell.awaitReady(0, 20_000)) return 2;
            String leader = cell.leader();
            if (leader == null) return 2;
            Map<Integer, String> sent = trouble
                ? Map.of(
                    2, damaged(2, one, "\"maxHeaderBytes\":16384", "\"maxHeaderBytes\":1638x"),
                    3, damaged(3, one, "\"tls\":false", "\"tls\":falsf"),
                    4, damaged(4, one, "\"idleTimeoutMs\":15000", "\"idleTimeoutMs\":15O00"))
                : Map.of(2, Cell.manifest(2, one), 3, Cell.manifest(3, one), 4, Cell.manifest(4, one));
            boolean broken = false;
            for (int version = 2; version <= 4; version++) {
                String body = sent.get(version);
                int status = http.call(leader, "PUT", "/config", Map.of(), body, 1_000).status();
                journal.line("operator: PUT /config at %s: %d, to %s", leader, status, body);
                if (!isJson(body) && status / 100 == 2) {
                    broken = true;
                    journal.line("CONFIG: manifest %d is no JSON, and was acknowledged", version);
                }
                Minion.sleep(1_000);
            }
            Minion.sleep(2_000);
            Http.Answer read = http.call(leader, "GET", "/config", Map.of(), "", 1_000);
            journal.line("operator: GET /config at %s: %d %s", leader, read.status(), read.body());
            if (read.status() == 200 && !isJson(read.body())) {
                broken = true;
                journal.line("CONFIG: what is read back is no JSON");
            }
            int status = Cell.consumer(http, cell.front(0), "GET", "/quotes/", "");
            journal.line("consumer: GET /quotes/, which manifest 1 has and the later ones lack: %d", status);
            if (trouble && status == 404) {
                broken = true;
                journal.line("CONFIG: what is invalid is in force");
            }
            return broken ? 1 : 0;
        }
    }

    private static boolean isJson(String text) {
        try {
            Json.parse(text);
            return true;
        } catch (RuntimeException e) {
            return false;
        }
    }
}
