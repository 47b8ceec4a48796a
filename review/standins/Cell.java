import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The project's own programs as processes on loopback, with the commands of deploy/system.toml and
 * settings like those of a small deployment; and the operator, the consumers and the advice service
 * as stand-ins.
 */
final class Cell implements AutoCloseable {
    static final int CORES = 5;

    /** The platform sets these for a small deployment. */
    private static final Map<String, Object> BOUNDS = Json.map(
        "seedLagS", 3, "addressReuseS", 2, "contactMs", 3000, "ackTimeoutMs", 4000, "catchUpS", 4,
        "drainMs", 2000, "graceS", 6, "lossSlackMs", 200, "configApplyMs", 2000,
        "rollbackSlackMs", 250, "maxStretchMs", 5000, "recoveryS", 12, "maxHoldMs", 6000,
        "stopTimeoutMs", 400, "gangTimeoutMs", 3000, "cancel_ms", 3000, "visible_ms", 3000,
        "early_ms", 250, "finish_s", 14, "status_s", 120, "remoteFactor", 1.5, "checkpointS", 1,
        "restoreMs", 100, "noticeMs", 4500, "leaseMs", 3000, "requireFencing", false);

    final Journal journal;
    final Path folder;
    final int controlPort;
    final int frontPort;
    final int readyPort;
    final int peerPort;
    final int metricsPort;
    /** The peer port that entry processes use: that of a proxy, if there is one. */
    int entryPeerPort;
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final HttpServer adviser;
    private final Http operator = new Http();
    private final Path root = Path.of("").toAbsolutePath();

    Cell(Journal journal) throws IOException {
        this.journal = journal;
        folder = Files.createTempDirectory("review");
        int[] ports = freePorts(5);
        controlPort = ports[0];
        frontPort = ports[1];
        readyPort = ports[2];
        peerPort = ports[3];
        metricsPort = ports[4];
        entryPeerPort = peerPort;
        adviser = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 64);
        adviser.setExecutor(Executors.newCachedThreadPool(Cell::daemon));
        adviser.createContext("/advise", exchange -> {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Map<String, Object> asked = Json.object(body);
            List<Object> good = new ArrayList<>();
            for (Object worker : (List<?>) asked.get("workers")) {
                good.add(List.of(worker, "t-" + asked.get("step") + "-" + worker));
            }
            byte[] bytes = Json.write(Json.map("good", good, "validityMs", 2000))
                .getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, bytes.length);
            exchange.getResponseBody().write(bytes);
            exchange.close();
        });
        adviser.start();
    }

    static String coreIp(int number) {
        return "127.0.0." + (11 + number);
    }

    static String edgeIp(int number) {
        return "127.0.0." + (21 + number);
    }

    List<String> controlAddresses() {
        List<String> all = new ArrayList<>();
        for (int i = 0; i < CORES; i++) all.add(coreIp(i) + ":" + controlPort);
        return all;
    }

    String front(int edge) {
        return edgeIp(edge) + ":" + frontPort;
    }

    /** Starts five core machines and the given number of edge machines. */
    void start(int edges) throws IOException {
        for (int i = 0; i < CORES; i++) startCore(i, true);
        for (int i = 0; i < edges; i++) startEdge(i);
    }

    void startCore(int number, boolean bootstrap) throws IOException {
        Map<String, Object> settings = settings("core-" + number, "control", coreIp(number), peerPort);
        settings.put("bootstrap", bootstrap);
        settings.put("listen", Json.map("control", coreIp(number) + ":" + controlPort));
        settings.put("dataDir", folder.resolve("data-" + number).toString());
        settings.put("countsAsLoss", true);
        start("core-" + number, "control", settings);
    }

    void startEdge(int number) throws IOException {
        Map<String, Object> settings = settings("edge-" + number, "entry", edgeIp(number), entryPeerPort);
        settings.put("bootstrap", true);
        settings.put("listen", Json.map(
            "front", front(number), "ready", edgeIp(number) + ":" + readyPort));
        settings.put("dataDir", null);
        settings.put("countsAsLoss", false);
        start("edge-" + number, "entry", settings);
    }

    private Map<String, Object> settings(String name, String role, String ip, int peer) {
        boolean core = role.equals("control");
        List<String> seeds = controlAddresses().subList(0, 3);
        return Json.map(
            "nodeName", name, "role", role, "machineClass", core ? "core" : "edge",
            "serves", List.of(core ? "control_plane" : "edge"), "ip", ip, "zone", "kochi",
            "region", "kerala", "zones", Json.map("kochi", "kerala"),
            "internalPortRange", List.of(peer, metricsPort), "seeds", seeds,
            "discovery", "registry", "entry", "vip", "heartbeatMs", Minion.HEARTBEAT_MS,
            "contracts", List.of("base", "drain", "config", "cost", "recover", "sched", "advice"),
            "faultTolerance", Json.map("machines", 2, "zones", 0, "regions", 0), "bounds", BOUNDS,
            "config_mode", "highest", "orders", "invoke",
            "advice", "127.0.0.1:" + adviser.getAddress().getPort());
    }

    private void start(String name, String role, Map<String, Object> settings) throws IOException {
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, Json.write(settings));
        ProcessBuilder builder = new ProcessBuilder(command(role)).directory(root.toFile());
        builder.environment().put("JACKDAWDALE_BOOT", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        processes.put(name, builder.start());
        journal.line("%s starts, process %d", name, processes.get(name).pid());
    }

    /** The words of a role's command in deploy/system.toml. */
    private List<String> command(String role) throws IOException {
        String text = Files.readString(root.resolve("deploy/system.toml"));
        Matcher found = Pattern.compile("\\[roles\\." + role + "]\\s+run = \"([^\"]*)\"").matcher(text);
        if (!found.find()) throw new IOException("deploy/system.toml has no role " + role);
        return Arrays.asList(found.group(1).split(" "));
    }

    /** Sends a signal, such as KILL, STOP or CONT, to one of the processes started here. */
    void signal(String name, String signal) throws IOException, InterruptedException {
        journal.line("%s gets SIG%s", name, signal);
        new ProcessBuilder("kill", "-" + signal, Long.toString(processes.get(name).pid()))
            .start().waitFor();
    }

    boolean isAlive(String name) {
        return processes.get(name).isAlive();
    }

    /** The lines that a process has logged so far. */
    String log(String name) throws IOException {
        return Files.readString(folder.resolve(name + ".log"));
    }

    static Map<String, Object> route(String name, String prefix, boolean advice) {
        Map<String, Object> route = Json.map(
            "name", name, "host", "orders.example", "pathPrefix", prefix, "type", "unsafe",
            "timeoutMs", 3000, "targetLatencyMs", 1000, "priority", 1, "service", "planning",
            "maxAttempts", 3, "stretch", 2.2);
        if (advice) {
            route.put("advice", Json.map("decisionMs", 1.0, "perWorkerMs", 0.1, "validityMs", 2000));
        }
        return route;
    }

    static String manifest(int version, List<Map<String, Object>> routes) {
        return Json.write(Json.map(
            "version", version, "routes", routes,
            "services", List.of(Json.map(
                "name", "planning", "healthPath", "/health", "maxConnections", 64, "protocol", "h1",
                "tls", false, "rejectsOverload", false, "standby", false)),
            "limits", Json.map(
                "maxHeaderBytes", 16384, "maxBodyBytes", 262144, "headerTimeoutMs", 3000,
                "idleTimeoutMs", 15000)));
    }

    /** Sends a manifest until it is acknowledged; false when that takes longer than the time. */
    boolean putManifest(String manifest, long withinMs) {
        return operate("PUT", "/config", manifest, withinMs) != null;
    }

    /** An operator's call, at one address after the other; null without a 2xx in time. */
    String operate(String method, String path, String body, long withinMs) {
        long dueMs = journal.nowMs() + withinMs;
        for (int i = 0; journal.nowMs() < dueMs; i++) {
            String to = controlAddresses().get(i % CORES);
            try {
                for (int hop = 0; hop < 3; hop++) {
                    Http.Answer answer = operator.call(to, method, path, Map.of(), body, 1_000);
                    String location = answer.headers().get("location");
                    if (answer.status() == 307 && location != null) {
                        String rest = location.substring("http://".length());
                        to = rest.substring(0, rest.indexOf('/'));
                        continue;
                    }
                    if (answer.status() / 100 == 2) {
                        journal.line("operator: %s %s at %s: %d", method, path, to, answer.status());
                        return answer.body();
                    }
                    break;
                }
            } catch (IOException e) {
                // The next address is asked.
            }
            Minion.sleep(50);
        }
        journal.line("operator: %s %s: no acknowledgement in %d ms", method, path, withinMs);
        return null;
    }

    /** The address that leads now, found by its answer to GET /config, or null. */
    String leader() {
        for (String address : controlAddresses()) {
            try (Http http = new Http()) {
                Http.Answer answer = http.call(address, "GET", "/config", Map.of(), "", 1_000);
                if (answer.status() == 200) return address;
            } catch (IOException e) {
                // It does not run or does not answer.
            }
        }
        return null;
    }

    /** Waits until an edge machine answers its readiness check with 200. */
    boolean awaitReady(int edge, long withinMs) {
        long dueMs = journal.nowMs() + withinMs;
        while (journal.nowMs() < dueMs) {
            try (Http http = new Http()) {
                String to = edgeIp(edge) + ":" + readyPort;
                if (http.call(to, "GET", "/readiness", Map.of(), "", 1_000).status() == 200) return true;
            } catch (IOException e) {
                // It has not started yet.
            }
            Minion.sleep(100);
        }
        return false;
    }

    /** A consumer's call with the time budget of the sheets; status 0 without an answer. */
    static int consumer(Http http, String front, String method, String path, String body) {
        try {
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Host", "orders.example");
            headers.put("Deadline-Ms", "3000");
            return http.call(front, method, path, headers, body, 3_000).status();
        } catch (IOException e) {
            return 0;
        }
    }

    @Override
    public void close() throws IOException {
        for (Process process : processes.values()) process.destroyForcibly();
        for (Process process : processes.values()) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        adviser.stop(0);
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs are in " + folder);
            return;
        }
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> {
                try {
                    Files.delete(file);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
        }
    }

    /** Ports that are free on all loopback addresses, in rising order. */
    static int[] freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            sockets.add(new ServerSocket(0, 1, InetAddress.getByName("0.0.0.0")));
        }
        int[] ports = sockets.stream().mapToInt(ServerSocket::getLocalPort).sorted().toArray();
        for (ServerSocket socket : sockets) socket.close();
        return ports;
    }

    private static Thread daemon(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        return thread;
    }
}
