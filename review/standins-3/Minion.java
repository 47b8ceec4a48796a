import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/**
 * A stand-in minion: one process is one life. It carries out orders, keeps fence numbers and leases,
 * lists runs and ends, and sends status reports, as PROTOCOL.md says. What it does is written to
 * standard output, one JSON object a line; commands ("drain") are read from standard input.
 *
 * <p>A job's spec tells how its tasks behave: {@code work0=700} (step 0 works for 700 ms),
 * {@code lasting0} (until stopped), {@code fail0=1@2@900} (task 1 of step 0 fails on its run 2
 * after 900 ms), {@code hopeless0=600} (each run fails after 600 ms), {@code gang0=8} (the 8 tasks of step 0 work together).
 */
final class Minion {
    private static final int CHECK_EVERY_MS = 20;
    private static final int STARTUP_MS = 200;
    private static final int STOP_MS = 50;
    private static final int REPORT_TIMEOUT_MS = 1_000;

    private static final class Run {
        String task;
        int number;
        String spec;
        long startedMs;
        long workingSinceMs;
        long stopAtMs = Long.MAX_VALUE;
        boolean isGang;

        String step() {
            return task.substring(0, task.lastIndexOf('.'));
        }

        int stepNumber() {
            return Integer.parseInt(task.split("\\.")[2]);
        }

        int index() {
            return Integer.parseInt(task.split("\\.")[3]);
        }

        /** The value of a word of the spec about this run's step, or null. */
        String word(String name) {
            String prefix = name + stepNumber();
            for (String word : spec.split(" ")) {
                if (word.equals(prefix)) return "";
                if (word.startsWith(prefix + "=")) return word.substring(prefix.length() + 1);
            }
            return null;
        }
    }

    private final Map<String, String> options = new HashMap<>();
    private final String id;
    private final long bornNanos = System.nanoTime();
    private final long bornMs = System.currentTimeMillis();
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final List<List<Object>> ended = new ArrayList<>();
    private final Map<String, Integer> endedRuns = new HashMap<>();
    private long lastEnd;
    private long fence;
    private long leaseUntilMs;
    private long sequence;
    private volatile boolean draining;

    /** Whether the minion is cut off, so that its reports reach nobody. */
    private volatile boolean muted;

    private Minion(String[] args) {
        for (String arg : args) {
            int equals = arg.indexOf('=');
            options.put(arg.substring(0, equals), arg.substring(equals + 1));
        }
        id = options.get("id");
    }

    public static void main(String[] args) throws IOException {
        new Minion(args).run();
    }

    private long clockMs() {
        return (System.nanoTime() - bornNanos) / 1_000_000;
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private void tell(Object... pairs) {
        Map<String, Object> line = Json.map("t", System.currentTimeMillis(), "minion", id);
        line.putAll(Json.map(pairs));
        synchronized (System.out) {
            System.out.println(Json.write(line));
        }
    }

    private void run() throws IOException {
        String address = options.get("listen");
        int colon = address.lastIndexOf(':');
        HttpServer server = HttpServer.create(new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), 128);
        server.setExecutor(Executors.newCachedThreadPool());
        server.createContext("/", this::handle);
        server.start();
        new Thread(this::sendReports).start();
        new Thread(this::readCommands).start();
        tell("event", "born", "address", options.get("address"));
        while (true) {
            sleep(CHECK_EVERY_MS);
            check();
        }
    }

    private void readCommands() {
        java.util.Scanner in = new java.util.Scanner(System.in);
        while (in.hasNextLine()) {
            switch (in.nextLine()) {
                case "drain" -> {
                    draining = true;
                    report();
                }
                case "mute" -> muted = true;
                case "unmute" -> muted = false;
                default -> throw new IllegalArgumentException("unknown command");
            }
        }
    }

    // Status reports

    private String reportBody() {
        synchronized (this) {
            List<Object> labels = new ArrayList<>(List.of(options.get("labels").split(",")));
            return Json.write(Json.map(
                "service", options.get("service"), "address", options.get("address"),
                "zone", options.get("zone"), "version", "v1", "slots", 8,
                "state", draining ? "draining" : "ready", "coldRemainingMs", 0,
                "capacity", Json.map("cpu", Long.parseLong(options.get("cpu")),
                    "memMb", Long.parseLong(options.get("memMb")), "gpu", 0),
                "labels", labels, "clockMs", clockMs(), "born", bornMs,
                "sequence", ++sequence));
        }
    }

    private void sendReports() {
        while (true) {
            if (!muted) report();
            sleep(Long.parseLong(options.get("heartbeatMs")));
        }
    }

    /** Tries one node after the other; each may redirect twice. */
    private void report() {
        List<String> nodes = new ArrayList<>(List.of(options.get("controls").split(",")));
        java.util.Collections.shuffle(nodes);
        for (int tries = 0; tries < 2 * nodes.size(); tries++) {
            String body = reportBody();
            String state = draining ? "draining" : "ready";
            String target = nodes.get(tries % nodes.size());
            for (int hops = 0; hops < 3 && target != null; hops++) {
                Http.Answer answer =
                    Http.call(target, "PUT", "/instances/" + id, body, REPORT_TIMEOUT_MS);
                if (answer.status() / 100 == 2) {
                    tell("event", "report", "state", state, "to", target, "acked", true);
                    return;
                }
                String location = answer.headers().get("location");
                target = answer.status() == 307 && location != null
                    ? location.replaceFirst("http://([^/]+)/.*", "$1") : null;
            }
            sleep(100);
        }
    }

    // Orders

    private void handle(HttpExchange call) throws IOException {
        String body = new String(call.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String intended = call.getRequestHeaders().getFirst("Expect-Instance");
        int status = 200;
        Map<String, Object> answer = Json.map();
        if (intended != null && !intended.equals(id)) {
            status = 421;
        } else {
            Map<String, Object> order = Json.object(body);
            switch (call.getRequestURI().getPath()) {
                case "/run-start" -> {
                    String refusal = start(order);
                    if (refusal != null) {
                        status = 409;
                        answer.put("reason", refusal);
                    }
                }
                case "/run-stop" -> stop(order);
                case "/hold" -> hold(order, answer);
                default -> status = 404;
            }
        }
        answer.put("clockMs", clockMs());
        byte[] bytes = Json.write(answer).getBytes(StandardCharsets.UTF_8);
        call.getResponseHeaders().set("Content-Type", "application/json");
        call.sendResponseHeaders(status, bytes.length);
        call.getResponseBody().write(bytes);
        call.close();
    }

    private static long number(Map<String, Object> order, String name, long otherwise) {
        return order.get(name) instanceof Number number ? number.longValue() : otherwise;
    }

    private boolean isFenced(Map<String, Object> order) {
        long token = number(order, "fencingToken", 0);
        if (token < fence) return true;
        fence = token;
        return false;
    }

    private void extend(long deadlineMs) {
        long latestMs = clockMs() + Long.parseLong(options.get("maxHoldMs"));
        leaseUntilMs = Math.max(leaseUntilMs, Math.min(deadlineMs, latestMs));
    }

    private synchronized String start(Map<String, Object> order) {
        String task = (String) order.get("task");
        int number = (int) number(order, "run", 0);
        long deadlineMs = number(order, "deadlineMs", 0);
        if (isFenced(order)) return refused(task, number, "fence");
        Run there = running.get(task);
        if (there != null && there.number == number) return null;
        boolean isOld = endedRuns.getOrDefault(task, 0) >= number
            || there != null && there.number > number;
        if (isOld) {
            extend(deadlineMs);
            return refused(task, number, "old");
        }
        if (deadlineMs < clockMs()) return refused(task, number, "late");
        extend(deadlineMs);
        Run run = new Run();
        run.task = task;
        run.number = number;
        run.spec = (String) order.get("spec");
        run.startedMs = clockMs();
        run.workingSinceMs = run.startedMs;
        run.isGang = run.word("gang") != null;
        running.put(task, run);
        tell("event", "start", "task", task, "run", number, "draining", draining);
        return null;
    }

    private String refused(String task, int number, String reason) {
        tell("event", "refuse", "task", task, "run", number, "reason", reason);
        return reason;
    }

    private synchronized void stop(Map<String, Object> order) {
        if (isFenced(order)) return;
        String task = (String) order.get("task");
        int number = (int) number(order, "run", 0);
        Run run = running.get(task);
        if (run != null && run.number <= number) {
            run.stopAtMs = Math.min(run.stopAtMs, clockMs() + STOP_MS);
        } else {
            endedRuns.merge(task, number, Math::max);
        }
        tell("event", "stop", "task", task, "run", number);
    }

    private void hold(Map<String, Object> order, Map<String, Object> answer) {
        long waitUntilMs = clockMs() + number(order, "waitMs", 0);
        synchronized (this) {
            if (!isFenced(order)) {
                if (order.containsKey("deadlineMs")) extend(number(order, "deadlineMs", 0));
                long cursor = number(order, "ackCursor", 0);
                for (List<Object> end : ended) {
                    if ((long) end.get(0) > cursor) break;
                    tell("event", "noted", "task", end.get(1), "run", end.get(2),
                        "how", end.get(3));
                }
                ended.removeIf(end -> (long) end.get(0) <= cursor);
            }
            while (ended.isEmpty() && clockMs() < waitUntilMs) {
                try {
                    wait(Math.max(1, waitUntilMs - clockMs()));
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            }
            List<Object> runs = new ArrayList<>();
            for (Run run : running.values()) {
                runs.add(List.of(run.task, run.number, "", percent(run), 0));
            }
            answer.put("born", bornMs);
            answer.put("running", runs);
            answer.put("endedRuns", new ArrayList<>(ended.subList(0, Math.min(500, ended.size()))));
        }
    }

    private int percent(Run run) {
        long workedMs = clockMs() - run.workingSinceMs;
        if (run.word("lasting") != null) return workedMs >= STARTUP_MS ? 100 : 0;
        String work = run.word("work");
        long workMs = work == null ? 100 : Long.parseLong(work);
        return (int) Math.min(99, workedMs * 100 / Math.max(1, workMs));
    }

    // The life of runs

    private void check() {
        List<Run> gangs = new ArrayList<>();
        synchronized (this) {
            long nowMs = clockMs();
            for (Run run : new ArrayList<>(running.values())) {
                if (nowMs > leaseUntilMs) {
                    end(run, "lapsed");
                } else if (nowMs >= run.stopAtMs) {
                    end(run, "stopped");
                } else if (run.isGang) {
                    gangs.add(run);
                } else {
                    String how = howEnded(run, nowMs - run.workingSinceMs);
                    if (how != null) end(run, how);
                }
            }
        }
        for (Run run : gangs) checkGang(run);
    }

    private String howEnded(Run run, long workedMs) {
        String fail = run.word("fail");
        if (fail != null) {
            String[] parts = fail.split("@");
            boolean isMeant = run.index() == Integer.parseInt(parts[0])
                && run.number == Integer.parseInt(parts[1]);
            if (isMeant && workedMs >= Long.parseLong(parts[2])) return "failed";
        }
        if (run.word("lasting") != null) return null;
        String hopeless = run.word("hopeless");
        if (hopeless != null) return workedMs >= Long.parseLong(hopeless) ? "failed" : null;
        String work = run.word("work");
        return workedMs >= (work == null ? 100 : Long.parseLong(work)) ? "done" : null;
    }

    /** The stand-in of the platform knows which members of a gang's run are present. */
    private void checkGang(Run run) {
        Http.Answer answer = Http.call(options.get("world"), "POST", "/gang", Json.write(Json.map(
            "run", run.step() + "/" + run.number, "task", run.task,
            "count", Long.parseLong(run.word("gang")))), 500);
        if (answer.status() != 200) return;
        synchronized (this) {
            if (running.get(run.task) != run) return;
            String state = (String) Json.object(answer.body()).get("state");
            if (state.equals("broken") || state.equals("done")) {
                end(run, state);
            } else if (state.equals("waiting")) {
                run.workingSinceMs = clockMs();
                long waitedMs = clockMs() - run.startedMs;
                if (waitedMs > Long.parseLong(options.get("gangTimeoutMs"))) end(run, "alone");
            } else {
                String how = howEnded(run, clockMs() - run.workingSinceMs);
                if (how != null) end(run, how);
            }
        }
    }

    private void end(Run run, String how) {
        running.remove(run.task);
        endedRuns.merge(run.task, run.number, Math::max);
        ended.add(List.of(++lastEnd, run.task, run.number, how, ""));
        notifyAll();
        tell("event", "end", "task", run.task, "run", run.number, "how", how);
        if (!run.isGang) return;
        new Thread(() -> Http.call(options.get("world"), "POST", "/gang-end", Json.write(Json.map(
            "run", run.step() + "/" + run.number, "how", how)), 500)).start();
    }
}
