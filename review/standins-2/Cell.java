import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small installation: each machine has a loopback address of its own and runs one process of the
 * project with the command of the deploy file. Plays the platform and the operator.
 */
final class Cell implements AutoCloseable {
    /** One machine and its process. */
    static final class Machine {
        final String name;
        final String role;
        final String ip;
        final Path data;
        volatile Process process;

        /** Exit statuses of processes that ended by themselves. */
        final List<Integer> ownEnds = new CopyOnWriteArrayList<>();

        Machine(String name, String role, String ip, Path data) {
            this.name = name;
            this.role = role;
            this.ip = ip;
            this.data = data;
        }
    }

    static final String HOST = "orders.example";
    static final String PREFIX = "/plans/";
    static final int GRACE_S = 6;
    static final int RECOVERY_S = 12;
    static final int CATCH_UP_S = 4;

    /** Settings that a case changes. */
    final Map<String, Object> bounds = Json.map(
            "seedLagS", 3, "addressReuseS", 2, "contactMs", 3000, "ackTimeoutMs", 4000,
            "catchUpS", CATCH_UP_S, "drainMs", 2000, "graceS", GRACE_S, "lossSlackMs", 200,
            "configApplyMs", 2000, "rollbackSlackMs", 250, "maxStretchMs", 5000,
            "recoveryS", RECOVERY_S, "maxHoldMs", 6000, "stopTimeoutMs", 400,
            "gangTimeoutMs", 3000, "cancel_ms", 3000, "visible_ms", 3000, "early_ms", 250,
            "finish_s", 14, "status_s", 120, "remoteFactor", 1.5, "checkpointS", 1,
            "restoreMs", 100, "noticeMs", 4500, "migrateS", 1.5, "maintenanceS", 2,
            "requireFencing", false, "leaseMs", 3000, "thawSlackMs", 300, "pacingMs", 100,
            "violationMs", 4000);

    final List<Machine> machines = new ArrayList<>();
    final Path folder;
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final Path root = Path.of("").toAbsolutePath();
    private final String net;
    private final int frontPort;
    private final int readyPort;
    private final int controlPort;
    private final int[] internal;
    private volatile boolean closing;
    private String seeds = "";
    String adviser = "";

    Cell(String recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        folder = Files.createTempDirectory("review-2-");
        Random random = new Random();
        String found = null;
        int[] ports = null;
        for (int i = 0; i < 50 && ports == null; i++) {
            found = "127." + (10 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
            ports = freePorts(found, 20_000 + random.nextInt(9_000));
        }
        if (ports == null) throw new IOException("no free ports");
        net = found;
        frontPort = ports[0];
        readyPort = ports[1];
        controlPort = ports[2];
        internal = new int[] {ports[3], ports[3] + 15};
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    private static int[] freePorts(String net, int first) {
        List<ServerSocket> open = new ArrayList<>();
        try {
            for (int host = 1; host <= 12; host++) {
                for (int port = first; port < first + 20; port++) {
                    open.add(new ServerSocket(port, 1, InetAddress.getByName(net + host)));
                }
            }
            return new int[] {first, first + 1, first + 2, first + 3};
        } catch (IOException e) {
            return null;
        } finally {
            for (ServerSocket socket : open) {
                try {
                    socket.close();
                } catch (IOException ignored) {
                    // Only the port's being free matters.
                }
            }
        }
    }

    /** Writes a line of the record, with the time since the start. */
    synchronized void log(String format, Object... args) {
        double at = (System.nanoTime() - startNanos) / 1e9;
        record.println(String.format("%8.3f  ", at) + String.format(format, args));
    }

    long nowMs() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    String ip(int host) {
        return net + host;
    }

    Machine add(String name, String role, int host) {
        Machine machine = new Machine(name, role, net + host, folder.resolve("data-" + name));
        machines.add(machine);
        return machine;
    }

    void seeds(Machine... of) {
        StringBuilder text = new StringBuilder();
        for (Machine machine : of) {
            text.append(text.length() == 0 ? "" : ",").append(control(machine));
        }
        seeds = text.toString();
    }

    String control(Machine machine) {
        return machine.ip + ":" + controlPort;
    }

    String front(Machine machine) {
        return machine.ip + ":" + frontPort;
    }

    String metrics(Machine machine) {
        return machine.ip + ":" + internal[1];
    }

    String ready(Machine machine) {
        return machine.ip + ":" + readyPort;
    }

    /** Starts the machine's process; bootstrap holds when the whole system starts first. */
    void start(Machine machine, boolean bootstrap) throws IOException {
        boolean core = machine.role.equals("control");
        if (core) Files.createDirectories(machine.data);
        Map<String, Object> settings = Json.map(
                "nodeName", machine.name, "role", machine.role,
                "machineClass", core ? "core" : "edge",
                "serves", List.of(core ? "control_plane" : "edge"), "ip", machine.ip,
                "zone", "kochi", "region", "kerala",
                "internalPortRange", List.of(internal[0], internal[1]),
                "seeds", List.of(seeds.split(",")), "bootstrap", bootstrap,
                "countsAsLoss", core, "discovery", "registry", "entry", "vip",
                "heartbeatMs", 1500,
                "contracts", List.of("base", "drain", "config", "cost", "recover", "sched",
                        "advice", "upkeep", "sharing"),
                "config_mode", "highest", "orders", "invoke", "advice", adviser,
                "zones", Json.map("kochi", "kerala"),
                "listen", core ? Json.map("control", control(machine))
                        : Json.map("front", front(machine), "ready", ready(machine)),
                "limits", Json.map("cpuShare", 0.75, "cores", core ? 2 : 1, "memoryMb", 430,
                        "maxFds", 4096, "linkMbps", 1000.0, "diskMb", core ? 128 : 0),
                "faultTolerance", Json.map("machines", 2, "zones", 0, "regions", 0),
                "bounds", bounds,
                "cloud", Json.map("address", net + "250:9", "ratePerS", 60.0,
                        "duties", List.of(), "dutiesPerS", 60.0));
        if (core) settings.put("dataDir", machine.data.toString());
        Path file = folder.resolve(machine.name + ".json");
        Files.writeString(file, Json.write(settings));
        ProcessBuilder builder = new ProcessBuilder(command(machine.role));
        Map<String, String> env = builder.environment();
        env.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        env.put("JACKDAWDALE_BOOT", file.toString());
        builder.directory(root.toFile()).redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(
                folder.resolve(machine.name + ".log").toFile()));
        machine.process = builder.start();
        log("starts %s at %s, bootstrap %s, pid %d", machine.name, machine.ip, bootstrap,
                machine.process.pid());
    }

    /** The command of a role in the deploy file, split at spaces. */
    private List<String> command(String role) throws IOException {
        String text = Files.readString(root.resolve("deploy/system.toml"));
        Matcher matcher = Pattern.compile(
                "\\[roles\\." + role + "]\\s*run = \"([^\"]*)\"").matcher(text);
        if (!matcher.find()) throw new IOException("no command for " + role);
        return Arrays.asList(matcher.group(1).split(" "));
    }

    /** From now on, starts processes again that end by themselves, as the platform does. */
    void restartEnded(long delayMs) {
        Thread thread = new Thread(() -> {
            while (true) {
                for (Machine machine : machines) {
                    if (machine.process.isAlive() || closing) continue;
                    machine.ownEnds.add(machine.process.exitValue());
                    log("%s has ended by itself, status %d", machine.name,
                            machine.process.exitValue());
                    pause(delayMs);
                    try {
                        if (!closing) start(machine, false);
                    } catch (IOException e) {
                        log("cannot start %s: %s", machine.name, e.getMessage());
                    }
                }
                pause(50);
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Sends SIGKILL, as a loss of power does to a process. */
    void kill(Machine machine) {
        machine.process.destroyForcibly();
        waitFor(machine, 5_000);
        log("kills %s", machine.name);
    }

    /** Sends SIGTERM, and SIGKILL after the grace period. */
    void terminate(Machine machine) {
        log("SIGTERM to %s", machine.name);
        machine.process.destroy();
        if (!waitFor(machine, GRACE_S * 1_000)) machine.process.destroyForcibly();
        waitFor(machine, 2_000);
        log("%s has ended, status %d", machine.name, machine.process.exitValue());
    }

    /** Sends a signal such as STOP or CONT to a process of this cell. */
    void signal(Machine machine, String name) throws IOException {
        try {
            new ProcessBuilder("kill", "-" + name, "" + machine.process.pid()).start().waitFor();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
        log("SIG%s to %s", name, machine.name);
    }

    private static boolean waitFor(Machine machine, long ms) {
        try {
            return machine.process.waitFor(ms, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            return false;
        }
    }

    /** Empties the disk of a stopped machine. */
    void wipe(Machine machine) throws IOException {
        delete(machine.data);
        log("%s has lost its disk", machine.name);
    }

    /** Sends an order of the operator to one machine after the other until one answers clearly. */
    Http.Answer operator(String method, String path, String body, long withinMs) {
        return operator(method, path, body, withinMs, machines);
    }

    Http.Answer operator(
            String method, String path, String body, long withinMs, List<Machine> nodes) {
        long until = nowMs() + withinMs;
        Http.Answer last = new Http.Answer(0, "not asked", Map.of());
        int tries = 0;
        while (nowMs() < until) {
            for (Machine machine : nodes) {
                if (!machine.role.equals("control") || !machine.process.isAlive()) continue;
                String address = control(machine);
                String at = path;
                for (int hop = 0; hop < 3; hop++) {
                    last = Http.call(address, method, at, Map.of(), body, 1_000);
                    tries++;
                    if (last.status() != 307) break;
                    String target = last.headers().get("Location").substring(7);
                    address = target.substring(0, target.indexOf('/'));
                    at = target.substring(target.indexOf('/'));
                }
                boolean clear = last.ok()
                        || List.of(400, 409, 412, 413, 422).contains(last.status());
                if (clear) {
                    log("operator: %s %s -> %d from %s, %d tries", method, path, last.status(),
                            address, tries);
                    return last;
                }
                if (nowMs() >= until) break;
            }
            pause(100);
        }
        log("operator: %s %s -> no clear answer in %d ms, %d tries, last %d %s", method, path,
                withinMs, tries, last.status(), last.body());
        return last;
    }

    /** A manifest with one queue. */
    static String manifest(long version, Map<String, Object> queueFields) {
        Map<String, Object> route = Json.map("name", "r-1", "host", HOST, "pathPrefix", PREFIX,
                "type", "unsafe", "timeoutMs", 3000, "targetLatencyMs", 1000, "priority", 0,
                "service", "paneplan", "maxAttempts", 3, "stretch", 3.0);
        route.putAll(queueFields);
        return Json.write(Json.map("version", version, "routes", List.of(route),
                "services", List.of(Json.map("name", "paneplan", "healthPath", "/health",
                        "maxConnections", 64, "protocol", "h1", "tls", false,
                        "rejectsOverload", false, "standby", false)),
                "limits", Json.map("maxHeaderBytes", 16384, "maxBodyBytes", 262144,
                        "headerTimeoutMs", 3000, "idleTimeoutMs", 15000)));
    }

    static long versionOf(Http.Answer answer) {
        return answer.ok() ? (Long) Json.object(answer.body()).get("version") : -1;
    }

    /** Hands a job in, again after unclear answers; null when it stays unclear. */
    Http.Answer submit(Machine edge, String id, String body, long withinMs) {
        return consumer(edge, "POST", id, body, withinMs);
    }

    Http.Answer consumer(Machine edge, String method, String id, String body, long withinMs) {
        long until = nowMs() + withinMs;
        Http.Answer answer = null;
        while (nowMs() < until) {
            answer = Http.call(front(edge), method, PREFIX + id,
                    Map.of("Host", HOST, "Deadline-Ms", "3000"), body, 3_000);
            log("consumer: %s %s at %s -> %d %s", method, id, edge.name, answer.status(),
                    answer.body());
            boolean unclear = List.of(0, 502, 503, 504).contains(answer.status());
            if (!unclear) return answer;
            pause(200);
        }
        return answer;
    }

    /** The lines of a machine's log that hold a text. */
    List<String> logLines(Machine machine, String text) throws IOException {
        Path file = folder.resolve(machine.name + ".log");
        if (!Files.exists(file)) return List.of();
        try (Stream<String> lines = Files.lines(file)) {
            return lines.filter(l -> l.contains(text)).toList();
        }
    }

    /** Records the last line of a machine's log that holds a text, without identities. */
    void logLast(Machine machine, String text) throws IOException {
        List<String> lines = logLines(machine, text);
        if (lines.isEmpty()) return;
        String message = (String) Json.object(lines.get(lines.size() - 1)).get("message");
        log("%s logged %d times, last: %s", machine.name, lines.size(),
                message.replaceAll("\\(?[0-9a-f]{8}-[-0-9a-f]{27}\\)?", ""));
    }

    static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Waits for a condition; false when it does not hold in time. */
    boolean await(long withinMs, Condition condition) throws IOException {
        long until = nowMs() + withinMs;
        while (nowMs() < until) {
            if (condition.holds()) return true;
            pause(20);
        }
        return condition.holds();
    }

    interface Condition {
        boolean holds() throws IOException;
    }

    private static void delete(Path path) throws IOException {
        if (!Files.exists(path)) return;
        try (Stream<Path> paths = Files.walk(path)) {
            paths.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        }
    }

    @Override
    public synchronized void close() {
        closing = true;
        for (Machine machine : machines) {
            if (machine.process != null) machine.process.destroyForcibly();
        }
        for (Machine machine : machines) {
            if (machine.process != null) waitFor(machine, 5_000);
        }
        try {
            if (System.getenv("KEEP") == null) delete(folder);
        } catch (IOException e) {
            log("cannot delete the temporary folder: %s", e.getMessage());
        }
    }
}
