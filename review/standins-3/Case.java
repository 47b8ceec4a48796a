import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** A case: plays a disruption against a small deployment and checks one rule. */
abstract class Case {
    static final String PLANS = "/lohu930/";
    static final String STAYS = "/pufi791/";

    final Cell cell;

    Case(Cell cell) {
        this.cell = cell;
    }

    /** Plays the case; returns whether the rule held. */
    abstract boolean play(boolean trouble) throws Exception;

    interface Factory {
        Case make(Cell cell);
    }

    /** Exits with 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. */
    static void run(String folder, int cores, int edges, Factory factory) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        Cell cell = new Cell(cores, edges, Path.of(folder, "record.txt"));
        Runtime.getRuntime().addShutdownHook(new Thread(cell::close));
        try {
            cell.note(trouble ? "with the disruption" : "without the disruption");
            status = factory.make(cell).play(trouble) ? 0 : 1;
        } catch (Cell.CannotRun e) {
            cell.note("the case could not run: " + e.getMessage());
        } catch (Exception e) {
            cell.note("the case could not run: " + e);
            e.printStackTrace();
        }
        cell.note("exit status " + status);
        System.exit(status);
    }

    static Map<String, Object> route(String name, String prefix) {
        return Json.map("name", name, "host", Cell.HOST, "pathPrefix", prefix,
            "type", "unsafe", "timeoutMs", 3000L, "targetLatencyMs", 250L, "priority", 0L,
            "service", Cell.SERVICE, "maxAttempts", 3L, "stretch", 1.5);
    }

    static Map<String, Object> routeWithAdvice(
        String name, String prefix, double decisionMs, double perWorkerMs
    ) {
        Map<String, Object> route = route(name, prefix);
        route.put("advice", Json.map("decisionMs", decisionMs, "perWorkerMs", perWorkerMs,
            "validityMs", 1500L));
        return route;
    }

    static String manifest(long version, List<?> routes) {
        return Json.write(Json.map("version", version, "routes", routes,
            "services", List.of(Json.map("name", Cell.SERVICE, "healthPath", "/health",
                "maxConnections", 64L, "protocol", "h1", "tls", false, "rejectsOverload", false,
                "standby", false)),
            "limits", Json.map("maxHeaderBytes", 16384L, "maxBodyBytes", 262144L,
                "headerTimeoutMs", 3000L, "idleTimeoutMs", 15000L)));
    }

    /** Starts the deployment, hands the manifest in and waits until a first job has run. */
    void begin(String manifest, int minions, String queue) throws IOException {
        cell.startProcesses();
        cell.require(30_000, "no manifest was acknowledged",
            () -> cell.atControl("PUT", "/config", manifest).status() == 200);
        cell.note("manifest acknowledged: " + manifest);
        cell.require(15_000, "the entry hosts are not ready", cell::isReady);
        for (int slot = 1; slot <= minions; slot++) cell.startMinion(slot);
        cell.require(15_000, "the minions were not acknowledged", () -> cell.minions.stream()
            .allMatch(minion -> cell.events().stream().anyMatch(event ->
                event.event().equals("report") && event.minion().equals(minion.id))));
        String first = cell.newJobId();
        String spec = "work0=200 gang1=2 work1=200";
        require(cell.submit(queue, first, spec,
            Json.map("count", 2L, "cpu", 2_000L, "memMb", 256L, "estimatedMs", 200L),
            Json.map("count", 2L, "cpu", 2_000L, "memMb", 256L, "estimatedMs", 200L,
                "gang", true, "after", List.of(0L))), "the first job");
        cell.require(10_000, "the first job did not complete",
            () -> cell.state(queue, first).equals("completed"));
    }

    static void require(int status, String what) {
        if (status / 100 != 2) throw new Cell.CannotRun(what + " was answered with " + status);
    }

    boolean hasStarted(String job) {
        return cell.events().stream().anyMatch(
            event -> event.event().equals("start") && event.task().startsWith(job + "."));
    }

    boolean isDone(String job) {
        return cell.events().stream().anyMatch(event -> event.event().equals("end")
            && event.how().equals("done") && event.task().startsWith(job + "."));
    }

    /** Processors in use on the minion; {@code cpuOf} are those of one task, by job. */
    long used(Cell.MinionProcess minion, Map<String, Long> cpuOf) {
        long cpu = 0;
        for (Cell.Running run : cell.running()) {
            boolean isThere = run.minion().equals(minion.id);
            if (isThere) cpu += cpuOf.getOrDefault(run.task().substring(0, 16), 0L);
        }
        return cpu;
    }

    /** Number of tasks of this size that fit on the minions that are up and don't drain. */
    long slots(long taskCpu, Map<String, Long> cpuOf) {
        long slots = 0;
        for (Cell.MinionProcess minion : cell.minions) {
            if (!minion.isUp || minion.draining) continue;
            slots += Math.max(0, (Cell.MINION_CPU - used(minion, cpuOf)) / taskCpu);
        }
        return slots;
    }

    /** Part of the processors of the minions that are up which is in use. */
    double usedShare(Map<String, Long> cpuOf) {
        long whole = 0;
        long used = 0;
        for (Cell.MinionProcess minion : cell.minions) {
            if (!minion.isUp) continue;
            whole += Cell.MINION_CPU;
            used += used(minion, cpuOf);
        }
        return (double) used / whole;
    }
}
