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
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A stand-in minion that follows the page on running tasks: fence numbers, leases, run numbers and
 * ends. A spec of the form "ms=N" sets how long a task takes. It reports itself to the control
 * addresses, follows a 307 twice and takes the next address after a second without an answer.
 */
final class Minion implements AutoCloseable {
    static final int MAX_HOLD_MS = 6_000;
    static final int STOP_MS = 100;
    static final int HEARTBEAT_MS = 1_500;

    /** One run of a task; the times are those of the journal, endMs is -1 while it works. */
    static final class Run {
        final String minion;
        final String task;
        final int run;
        final long startMs;
        volatile long endMs = -1;
        volatile String how = "";
        private final long needMs;
        private boolean stopping;

        Run(String minion, String task, int run, long startMs, long needMs) {
            this.minion = minion;
            this.task = task;
            this.run = run;
            this.startMs = startMs;
            this.needMs = needMs;
        }
    }

    /** All runs of all minions, in order of their start. */
    static final class Runs {
        private final List<Run> runs = new ArrayList<>();

        synchronized void add(Run run) {
            runs.add(run);
        }

        synchronized List<Run> all() {
            return List.copyOf(runs);
        }
    }

    final String id;
    private final String service;
    private final String rack;
    private final Journal journal;
    private final Runs runs;
    private final long born = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();
    private final HttpServer server;
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, r -> daemon(r));
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final List<Object[]> ended = new ArrayList<>();
    private final Map<String, Integer> highestRun = new HashMap<>();
    private final Http http = new Http();
    private String address;
    private List<String> control = List.of();
    private long fence;
    private long leaseUntilMs;
    private long nextEnd = 1;
    private long sequence;
    private volatile String state = "ready";
    private volatile boolean up = true;
    private volatile int preferred;
    private volatile boolean unhealthy;

    Minion(String id, String service, String rack, String ip, int port, Journal journal, Runs runs)
            throws IOException {
        this.id = id;
        this.service = service;
        this.rack = rack;
        this.journal = journal;
        this.runs = runs;
        server = HttpServer.create(new InetSocketAddress(ip, port), 64);
        server.setExecutor(Executors.newCachedThreadPool(r -> daemon(r)));
        server.createContext("/", this::handle);
        server.start();
        address = ip + ":" + server.getAddress().getPort();
        timer.scheduleAtFixedRate(this::check, 10, 10, TimeUnit.MILLISECONDS);
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** The address that it tells others: its own, or that of a proxy before it. */
    void announce(String otherAddress) {
        address = otherAddress;
    }

    /** While unhealthy, it refuses each start with 503 and does nothing, and is healthy otherwise. */
    void unhealthy(boolean now) {
        unhealthy = now;
        journal.line("minion %s: %s", id, now ? "turns unhealthy" : "is healthy again");
    }

    boolean isUp() {
        return up;
    }

    long clockMs() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    /** Sends status reports from now on, to one of these addresses. */
    void join(List<String> controlAddresses) {
        control = List.copyOf(controlAddresses);
        timer.scheduleWithFixedDelay(this::reportQuietly, 0, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
    }

    private void reportQuietly() {
        if (up && !state.equals("leaving")) report();
    }

    /** Sends a status report until one is acknowledged or each address was tried twice. */
    synchronized boolean report() {
        String body = Json.write(Json.map(
            "service", service, "address", address, "zone", "kochi", "version", "v1", "slots", 8,
            "state", state, "coldRemainingMs", 0,
            "capacity", Json.map("cpu", 64_000, "memMb", 262_144, "gpu", 0),
            "labels", List.of("a", rack), "clockMs", clockMs(), "born", born, "sequence", ++sequence));
        return send("PUT", body, 2 * control.size());
    }

    /** Reports that it drains, until that is acknowledged. */
    void drain() {
        state = "draining";
        while (up && !report()) sleep(100);
        journal.line("minion %s: its report that it drains was acknowledged", id);
    }

    /**
     * Says that it leaves. It ends once that is acknowledged, and patienceMs later if it is not.
     */
    void leave(int patienceMs) {
        state = "leaving";
        long dueMs = clockMs() + patienceMs;
        journal.line("minion %s: sends DELETE", id);
        boolean acknowledged = false;
        while (!acknowledged && clockMs() < dueMs) acknowledged = send("DELETE", "", 1);
        journal.line("minion %s: DELETE %s; it ends", id, acknowledged ? "was acknowledged" : "got no answer");
        end("gone");
    }

    private boolean send(String method, String body, int tries) {
        for (int i = 0; i < tries && up; i++) {
            String to = control.get(Math.floorMod(preferred, control.size()));
            try {
                for (int hop = 0; hop < 3; hop++) {
                    Http.Answer answer = http.call(to, method, "/instances/" + id, Map.of(), body, 1_000);
                    String location = answer.headers().get("location");
                    if (answer.status() == 307 && location != null) {
                        String rest = location.substring("http://".length());
                        to = rest.substring(0, rest.indexOf('/'));
                        continue;
                    }
                    if (answer.status() / 100 != 2) break;
                    // The node that acknowledged is asked first the next time.
                    preferred = Math.max(0, control.indexOf(to));
                    return true;
                }
            } catch (IOException e) {
                journal.line("minion %s: %s to %s: %s", id, method, to, e.getMessage());
            }
            preferred++;
        }
        return false;
    }

    /** Ends the minion at once: everything on it ends. */
    void end(String how) {
        synchronized (running) {
            up = false;
            for (Run run : running.values()) finish(run, how);
            running.clear();
            running.notifyAll();
        }
        server.stop(0);
        timer.shutdownNow();
    }

    @Override
    public void close() {
        if (up) end("closed");
    }

    private void check() {
        synchronized (running) {
            long now = clockMs();
            for (Run run : List.copyOf(running.values())) {
                boolean done = journal.nowMs() - run.startMs >= run.needMs;
                if (now > leaseUntilMs) list(run, "lapsed");
                else if (done && !run.stopping) list(run, "done");
            }
        }
    }

    private void list(Run run, String how) {
        if (running.remove(run.task) == null) return;
        highestRun.merge(run.task, run.run, Math::max);
        ended.add(new Object[] {nextEnd++, run.task, run.run, how, ""});
        finish(run, how);
        running.notifyAll();
    }

    private void finish(Run run, String how) {
        run.how = how;
        run.endMs = journal.nowMs();
        journal.line("minion %s: run %d of %s ends: %s", id, run.run, run.task, how);
    }

    private void handle(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String expected = exchange.getRequestHeaders().getFirst("Expect-Instance");
        Map<String, Object> answer = Json.map();
        int status;
        if (!up) {
            exchange.close();
            return;
        } else if (expected != null && !expected.equals(id)) {
            status = 421;
        } else {
            Map<String, Object> fields = body.isEmpty() ? Map.of() : Json.object(body);
            status = switch (exchange.getRequestURI().getPath()) {
                case "/run-start" -> start(fields, answer);
                case "/run-stop" -> stop(fields);
                case "/hold" -> hold(fields, answer);
                case "/health" -> 200;
                default -> 404;
            };
        }
        if (!up) {
            exchange.close();
            return;
        }
        answer.put("clockMs", clockMs());
        byte[] bytes = Json.write(answer).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private int refuse(Map<String, Object> answer, String reason) {
        answer.put("reason", reason);
        return 409;
    }

    private void extendLease(long deadlineMs) {
        leaseUntilMs = Math.max(leaseUntilMs, Math.min(deadlineMs, clockMs() + MAX_HOLD_MS));
    }

    private int start(Map<String, Object> order, Map<String, Object> answer) {
        String task = (String) order.get("task");
        int number = (int) Json.number(order, "run", 0);
        long token = Json.number(order, "fencingToken", 0);
        long deadlineMs = Json.number(order, "deadlineMs", 0);
        if (unhealthy) return 503;
        synchronized (running) {
            if (token < fence) return refuse(answer, "fence");
            fence = token;
            if (deadlineMs < clockMs()) return refuse(answer, "late");
            extendLease(deadlineMs);
            Run present = running.get(task);
            if (present != null && present.run == number) return 200;
            if (number <= highestRun.getOrDefault(task, 0)) return refuse(answer, "old");
            if (present != null) return refuse(answer, "old");
            String spec = (String) order.getOrDefault("spec", "");
            Run run = new Run(id, task, number, journal.nowMs(), Long.parseLong(spec.replace("ms=", "")));
            running.put(task, run);
            runs.add(run);
            journal.line("minion %s: run %d of %s starts, fence number %d", id, number, task, token);
        }
        return 200;
    }

    private int stop(Map<String, Object> order) {
        String task = (String) order.get("task");
        int number = (int) Json.number(order, "run", 0);
        long token = Json.number(order, "fencingToken", 0);
        synchronized (running) {
            if (token < fence) return 200;
            fence = token;
            highestRun.merge(task, number, Math::max);
            Run run = running.get(task);
            if (run != null && run.run <= number && !run.stopping) {
                run.stopping = true;
                timer.schedule(() -> {
                    synchronized (running) {
                        if (running.get(task) == run) list(run, "stopped");
                    }
                }, STOP_MS, TimeUnit.MILLISECONDS);
            }
        }
        return 200;
    }

    private int hold(Map<String, Object> request, Map<String, Object> answer) {
        long token = Json.number(request, "fencingToken", 0);
        synchronized (running) {
            if (token >= fence) {
                fence = token;
                long deadlineMs = Json.number(request, "deadlineMs", 0);
                if (deadlineMs > 0) extendLease(deadlineMs);
                long cursor = Json.number(request, "ackCursor", 0);
                ended.removeIf(end -> (Long) end[0] <= cursor);
            }
            long dueMs = clockMs() + Json.number(request, "waitMs", 0);
            long seen = nextEnd;
            while (up && ended.isEmpty() && nextEnd == seen && clockMs() < dueMs) {
                try {
                    running.wait(Math.max(1, dueMs - clockMs()));
                } catch (InterruptedException e) {
                    break;
                }
            }
            List<Object> listed = new ArrayList<>();
            for (Run run : running.values()) {
                long percent = Math.min(99, 100 * (journal.nowMs() - run.startMs) / run.needMs);
                listed.add(List.of(run.task, run.run, "", percent, 0));
            }
            List<Object> ends = new ArrayList<>();
            for (Object[] end : ended.subList(0, Math.min(500, ended.size()))) ends.add(List.of(end));
            answer.put("running", listed);
            answer.put("endedRuns", ends);
            answer.put("born", born);
        }
        return 200;
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Thread daemon(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        return thread;
    }
}
