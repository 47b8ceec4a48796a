import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback: the project's own processes with the commands of the deploy file,
 * stand-in minions, and the stand-ins of the platform and of the adviser. Each machine has a
 * loopback address of its own; ports are the same on all of them.
 */
final class Cell implements AutoCloseable {
    static final class CannotRun extends RuntimeException {
        CannotRun(String why) {
            super(why);
        }
    }

    /** What a minion did. */
    record Event(long atMs, String minion, String event, String task, int run, String how,
        Map<String, Object> line) {}

    /** A run on a minion that is up. */
    record Running(String minion, String task, int run, long sinceMs) {}

    /** A minion's process and what was declared of it. */
    static final class MinionProcess {
        Process process;
        String id;
        int slot;
        boolean isUp;
        boolean draining;

        /** What stands between the minion and all others. */
        Proxy proxy;
    }

    static final long MINION_CPU = 16_000;
    static final long MINION_MEM_MB = 65_536;
    static final String HOST = "nony24.example";
    static final String SERVICE = "huvo11a";

    private final Random random = new Random();
    private final long beganMs = System.currentTimeMillis();
    private final PrintWriter record;
    private final Path folder;
    private final String prefix;
    private final Map<String, String> commands = new HashMap<>();
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final Map<String, String> ips = new LinkedHashMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<String, Set<String>> gangs = new HashMap<>();
    private final Map<String, String> gangEnds = new HashMap<>();
    final List<MinionProcess> minions = new ArrayList<>();
    private final int portBase;
    private final int cores;
    private final int edges;
    private HttpServer world;
    private boolean closed;
    private int nextMinion = 1;

    /** Bounds and contracts of the site; a case may change them before the processes start. */
    final Map<String, Object> bounds = Json.map("seedLagS", 3L, "addressReuseS", 2L,
        "contactMs", 3000L, "ackTimeoutMs", 4000L, "catchUpS", 4L, "drainMs", 2000L,
        "graceS", 6L, "lossSlackMs", 200L, "configApplyMs", 2000L, "rollbackSlackMs", 250L,
        "maxStretchMs", 5000L, "recoveryS", 12L, "maxHoldMs", 6000L, "stopTimeoutMs", 400L,
        "gangTimeoutMs", 3000L, "cancel_ms", 3000L, "visible_ms", 3000L, "early_ms", 250L,
        "finish_s", 14L, "status_s", 120L, "remoteFactor", 1.5, "checkpointS", 1L,
        "restoreMs", 100L, "noticeMs", 4500L, "migrateS", 1.5, "maintenanceS", 2L,
        "requireFencing", false, "leaseMs", 3000L, "thawSlackMs", 300L, "pacingMs", 100L,
        "violationMs", 4000L);
    List<String> contracts = List.of(
        "base", "drain", "config", "cost", "recover", "sched", "advice", "upkeep", "sharing");

    /** Time that the adviser takes for a call, and for each worker in it. */
    double decisionMs = 13;
    double perWorkerMs = 0.13;

    Cell(int cores, int edges, Path recordFile) throws IOException {
        this.cores = cores;
        this.edges = edges;
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        folder = Files.createTempDirectory("review-3-");
        prefix = "127." + (10 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
        portBase = freePorts();
        readCommands();
    }

    // Time and the record

    long nowMs() {
        return System.currentTimeMillis();
    }

    void note(String text) {
        record.printf("%8.3f  %s%n", (nowMs() - beganMs) / 1000.0, text);
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    interface Condition {
        boolean holds();
    }

    boolean await(long timeoutMs, Condition condition) {
        long endMs = nowMs() + timeoutMs;
        while (nowMs() < endMs) {
            if (condition.holds()) return true;
            sleep(50);
        }
        return condition.holds();
    }

    void require(long timeoutMs, String what, Condition condition) {
        if (!await(timeoutMs, condition)) throw new CannotRun(what);
    }

    // The project's processes

    private void readCommands() throws IOException {
        String text = Files.readString(Path.of("deploy/system.toml"));
        Matcher role = Pattern.compile(
            "\\[roles\\.[a-z-]+]\\s+run = \"([^\"]+)\"\\s+on = \"([a-z]+)\"").matcher(text);
        while (role.find()) commands.put(role.group(2), role.group(1));
        if (!commands.containsKey("core") || !commands.containsKey("edge")) {
            throw new CannotRun("deploy/system.toml has no roles on core and edge");
        }
    }

    private int freePorts() throws IOException {
        for (int tries = 0; tries < 50; tries++) {
            int base = 20_000 + 40 * random.nextInt(250);
            boolean free = true;
            for (int port = base; port < base + 32 && free; port++) {
                for (int last : new int[] {11, 21, 31, 41}) {
                    try (ServerSocket socket = new ServerSocket()) {
                        socket.bind(new InetSocketAddress(prefix + last, port));
                    } catch (IOException e) {
                        free = false;
                    }
                }
            }
            if (free) return base;
        }
        throw new CannotRun("no free ports");
    }

    private int control() {
        return portBase + 16;
    }

    private int front() {
        return portBase + 17;
    }

    private int ready() {
        return portBase + 18;
    }

    private int minionPort() {
        return portBase + 19;
    }

    String worldAddress() {
        return prefix + "41:" + (portBase + 20);
    }

    List<String> controls() {
        List<String> all = new ArrayList<>();
        for (int i = 1; i <= cores; i++) all.add(prefix + (10 + i) + ":" + control());
        return all;
    }

    void startProcesses() throws IOException {
        startWorld();
        for (int i = 1; i <= cores; i++) startCore(i, true);
        for (int i = 1; i <= edges; i++) startEdge(i);
    }

    private void startCore(int i, boolean bootstrap) throws IOException {
        String ip = prefix + (10 + i);
        start("core-" + i, "core", ip, bootstrap,
            Json.map("control", ip + ":" + control()), "control_plane");
    }

    private void startEdge(int i) throws IOException {
        String ip = prefix + (20 + i);
        start("edge-" + i, "edge", ip, true,
            Json.map("front", ip + ":" + front(), "ready", ip + ":" + ready()), "edge");
    }

    private void start(String name, String machineClass, String ip, boolean bootstrap,
        Map<String, Object> listen, String serves) throws IOException {
        ips.put(name, ip);
        List<Object> seeds = new ArrayList<>(controls().subList(0, Math.min(3, cores)));
        Map<String, Object> settings = Json.map(
            "nodeName", name, "role", machineClass, "machineClass", machineClass,
            "serves", List.of(serves), "ip", ip, "zone", "kochi", "region", "kerala",
            "internalPortRange", List.of((long) portBase, (long) portBase + 15),
            "seeds", seeds, "bootstrap", bootstrap,
            "countsAsLoss", machineClass.equals("core"), "discovery", "registry",
            "entry", "vip", "heartbeatMs", 1500L,
            "contracts", contracts,
            "config_mode", "highest", "orders", "invoke", "advice", worldAddress(),
            "zones", Json.map("kochi", "kerala"), "listen", listen,
            "limits", Json.map("cpuShare", 0.75, "cores", 1L, "memoryMb", 430L, "maxFds", 4200L,
                "linkMbps", 1000.0, "diskMb", machineClass.equals("core") ? 128L : 0L),
            "faultTolerance", Json.map("machines", (long) (cores - 1) / 2, "zones", 0L,
                "regions", 0L),
            "bounds", bounds,
            "cloud", Json.map("address", prefix + "41:" + (portBase + 21), "ratePerS", 60.0,
                "duties", List.of(), "dutiesPerS", 60.0));
        if (machineClass.equals("core")) {
            Path data = folder.resolve("data-" + name);
            Files.createDirectories(data);
            settings.put("dataDir", data.toString());
        }
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, Json.write(settings));
        ProcessBuilder builder = new ProcessBuilder(commands.get(machineClass).split(" "));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("JACKDAWDALE_BOOT", file.toString());
        File log = folder.resolve(name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        processes.put(name, builder.start());
        note("starts " + name);
    }

    void kill(String name) {
        processes.get(name).destroyForcibly();
        note("SIGKILL to " + name);
    }

    /** Stops a process as the platform does, and starts it again with its disk. */
    void restart(String name, long graceMs) throws Exception {
        Process process = processes.get(name);
        process.destroy();
        note("SIGTERM to " + name);
        if (!process.waitFor(graceMs, TimeUnit.MILLISECONDS)) process.destroyForcibly();
        process.waitFor();
        note(name + " has ended");
        Cell.sleep(300);
        startCore(Integer.parseInt(name.substring(name.indexOf('-') + 1)), false);
    }

    /** The core machine that leads, or null: the others redirect a read of the manifest. */
    String leader() {
        for (int i = 1; i <= cores; i++) {
            Process process = processes.get("core-" + i);
            if (process == null || !process.isAlive()) continue;
            Http.Answer answer = Http.call(controls().get(i - 1), "GET", "/config", "", 1_000);
            if (answer.status() == 200) return "core-" + i;
        }
        return null;
    }

    boolean isReady() {
        for (int i = 1; i <= edges; i++) {
            String address = prefix + (20 + i) + ":" + ready();
            if (Http.call(address, "GET", "/readiness", "", 500).status() != 200) return false;
        }
        return true;
    }

    /** Sends an operator's or a minion's call to one node after the other until one accepts it. */
    Http.Answer atControl(String method, String path, String body) {
        Http.Answer answer = null;
        for (int tries = 0; tries < 40; tries++) {
            String target = controls().get(tries % cores);
            for (int hops = 0; hops < 3 && target != null; hops++) {
                answer = Http.call(target, method, path, body, 1_000);
                String location = answer.headers().get("location");
                target = answer.status() == 307 && location != null
                    ? location.replaceFirst("http://([^/]+)/.*", "$1") : null;
            }
            if (answer.status() / 100 == 2 || answer.status() / 100 == 4) return answer;
            sleep(150);
        }
        return answer;
    }

    // The platform and the adviser

    private void startWorld() throws IOException {
        int colon = worldAddress().lastIndexOf(':');
        world = HttpServer.create(new InetSocketAddress(worldAddress().substring(0, colon),
            Integer.parseInt(worldAddress().substring(colon + 1))), 128);
        world.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        world.createContext("/", this::answerWorld);
        world.start();
    }

    private final Map<String, Object> adviceTurns = new HashMap<>();

    private void answerWorld(HttpExchange call) throws IOException {
        Map<String, Object> body = Json.object(
            new String(call.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
        Map<String, Object> answer;
        switch (call.getRequestURI().getPath()) {
            case "/gang" -> answer = Json.map("state", gangState(body));
            case "/gang-end" -> {
                synchronized (gangs) {
                    String how = (String) body.get("how");
                    gangEnds.putIfAbsent((String) body.get("run"),
                        how.equals("done") ? "done" : "broken");
                }
                answer = Json.map();
            }
            case "/advise" -> answer = advise(call, body);
            default -> answer = Json.map();
        }
        byte[] bytes = Json.write(answer).getBytes(StandardCharsets.UTF_8);
        call.getResponseHeaders().set("Content-Type", "application/json");
        call.sendResponseHeaders(200, bytes.length);
        call.getResponseBody().write(bytes);
        call.close();
    }

    private String gangState(Map<String, Object> body) {
        synchronized (gangs) {
            String run = (String) body.get("run");
            if (gangEnds.containsKey(run)) return gangEnds.get(run);
            Set<String> present = gangs.computeIfAbsent(run, key -> new HashSet<>());
            present.add((String) body.get("task"));
            return present.size() >= (long) body.get("count") ? "working" : "waiting";
        }
    }

    /** The policy allows every worker. One call at a time for each calling machine. */
    private Map<String, Object> advise(HttpExchange call, Map<String, Object> body) {
        List<?> workers = (List<?>) body.get("workers");
        Object turn;
        synchronized (adviceTurns) {
            turn = adviceTurns.computeIfAbsent(
                call.getRemoteAddress().getAddress().getHostAddress(), key -> new Object());
        }
        synchronized (turn) {
            sleep(Math.round(decisionMs + perWorkerMs * workers.size()));
        }
        List<Object> good = new ArrayList<>();
        for (Object worker : workers) {
            good.add(List.of(worker, "ticket-" + worker + "-" + System.nanoTime()));
        }
        return Json.map("good", good);
    }

    // Minions

    MinionProcess startMinion(int slot) throws IOException {
        MinionProcess minion = new MinionProcess();
        minion.slot = slot;
        minion.id = "i-" + slot + "-" + nextMinion++;
        InetSocketAddress own = new InetSocketAddress(prefix + (30 + slot), minionPort());
        InetSocketAddress shown = new InetSocketAddress(prefix + (30 + slot), minionPort() + 10);
        minion.proxy = new Proxy(shown, own);
        List<String> command = List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx48m",
            "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Dsun.net.httpserver.nodelay=true",
            "-cp", System.getProperty("java.class.path"), "Minion", "id=" + minion.id,
            "listen=" + prefix + (30 + slot) + ":" + minionPort(),
            "address=" + prefix + (30 + slot) + ":" + (minionPort() + 10), "service=" + SERVICE,
            "zone=kochi", "cpu=" + MINION_CPU, "memMb=" + MINION_MEM_MB, "labels=a,r1-" + slot,
            "heartbeatMs=1500", "maxHoldMs=" + bounds.get("maxHoldMs"),
            "gangTimeoutMs=" + bounds.get("gangTimeoutMs"),
            "controls=" + String.join(",", controls()), "world=" + worldAddress());
        minion.process = new ProcessBuilder(command)
            .redirectError(folder.resolve(minion.id + ".log").toFile()).start();
        minion.isUp = true;
        synchronized (events) {
            minions.add(minion);
        }
        note("starts minion " + minion.id);
        Thread reader = new Thread(() -> readEvents(minion));
        reader.setDaemon(true);
        reader.start();
        return minion;
    }

    private void readEvents(MinionProcess minion) {
        try (BufferedReader in = new BufferedReader(
            new InputStreamReader(minion.process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                Map<String, Object> map = Json.object(line);
                long atMs = (long) map.get("t");
                Event event = new Event(atMs, minion.id, (String) map.get("event"),
                    (String) map.getOrDefault("task", ""),
                    ((Long) map.getOrDefault("run", 0L)).intValue(),
                    (String) map.getOrDefault("how", ""), map);
                synchronized (events) {
                    events.add(event);
                }
                boolean isReport = event.event().equals("report");
                if (!isReport || map.get("state").equals("draining")) note(line);
            }
        } catch (IOException e) {
            // The process was killed.
        }
    }

    void killMinion(MinionProcess minion) throws IOException {
        minion.process.destroyForcibly();
        minion.proxy.close();
        synchronized (events) {
            minion.isUp = false;
        }
        note("SIGKILL to minion " + minion.id);
    }

    private void tell(MinionProcess minion, String command) throws IOException {
        minion.process.getOutputStream().write((command + "\n").getBytes(StandardCharsets.UTF_8));
        minion.process.getOutputStream().flush();
    }

    void drain(MinionProcess minion) throws IOException {
        minion.draining = true;
        tell(minion, "drain");
        note("minion " + minion.id + " is told to drain");
    }

    /** Cuts the minion off from all others, in both directions. */
    void cut(MinionProcess minion) throws IOException {
        minion.proxy.cut();
        tell(minion, "mute");
        note("minion " + minion.id + " is cut off");
    }

    void heal(MinionProcess minion) throws IOException {
        minion.proxy.heal();
        tell(minion, "unmute");
        note("minion " + minion.id + " is connected again");
    }

    MinionProcess minion(String id) {
        return minions.stream().filter(minion -> minion.id.equals(id)).findFirst().orElseThrow();
    }

    List<Event> events() {
        synchronized (events) {
            return new ArrayList<>(events);
        }
    }

    /** What runs on the minions that are up, as they told it. */
    List<Running> running() {
        Set<String> up = new HashSet<>();
        Map<String, Running> runs = new LinkedHashMap<>();
        synchronized (events) {
            for (MinionProcess minion : minions) if (minion.isUp) up.add(minion.id);
            for (Event event : events) {
                String key = event.minion() + " " + event.task() + " " + event.run();
                if (event.event().equals("start")) {
                    runs.put(key,
                        new Running(event.minion(), event.task(), event.run(), event.atMs()));
                } else if (event.event().equals("end")) {
                    runs.remove(key);
                }
            }
        }
        runs.values().removeIf(run -> !up.contains(run.minion()));
        return new ArrayList<>(runs.values());
    }

    List<Running> runningOf(String jobId) {
        List<Running> found = new ArrayList<>(running());
        found.removeIf(run -> !run.task().startsWith(jobId + "."));
        return found;
    }

    // Consumers

    String newJobId() {
        return String.format("%016x", random.nextLong());
    }

    private String anyFront() {
        return prefix + (21 + random.nextInt(edges)) + ":" + front();
    }

    private Http.Answer consumer(String method, String path, String body) {
        Http.Answer answer = Http.call(anyFront(), method, path, body, 3_000,
            "Host", HOST, "Deadline-Ms", "3000");
        boolean isPoll = method.equals("GET");
        if (!isPoll) note(method + " " + path + " " + body + " -> " + answer.status() + " "
            + answer.body());
        return answer;
    }

    /** Submits a job; a call without a clear answer is sent again. Returns the last status. */
    int submit(String queue, String jobId, String spec, Object... steps) {
        String body = Json.write(Json.map("spec", spec, "steps", List.of(steps)));
        int status = 0;
        for (int tries = 0; tries < 5; tries++) {
            status = consumer("POST", queue + jobId, body).status();
            if (status != 0 && status != 502 && status != 504) return status;
            sleep(200);
        }
        return status;
    }

    int cancel(String queue, String jobId) {
        int status = 0;
        for (int tries = 0; tries < 5; tries++) {
            status = consumer("DELETE", queue + jobId, "").status();
            if (status / 100 == 2 || status == 410) return status;
            sleep(200);
        }
        return status;
    }

    String state(String queue, String jobId) {
        Http.Answer answer = consumer("GET", queue + jobId, "");
        if (answer.status() != 200) return "status " + answer.status();
        return (String) Json.object(answer.body()).get("state");
    }

    @Override
    public synchronized void close() {
        if (closed) return;
        closed = true;
        for (MinionProcess minion : minions) minion.process.destroyForcibly();
        for (Process process : processes.values()) process.destroyForcibly();
        try {
            for (MinionProcess minion : minions) minion.process.waitFor(5, TimeUnit.SECONDS);
            for (Process process : processes.values()) process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
        if (world != null) world.stop(0);
        record.close();
        String kept = System.getenv("REVIEW_LOGS");
        try (Stream<Path> files = Files.walk(folder)) {
            if (kept != null) return;
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException e) {
            System.err.println("cannot delete the temporary folder");
        } finally {
            if (kept != null) System.err.println("logs: " + folder);
        }
    }
}
