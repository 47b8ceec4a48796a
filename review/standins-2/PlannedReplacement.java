import java.util.List;

/**
 * Replaces a core machine as planned, the new one first. Once the old one has ended, two other core
 * machines lose their disks, as many as the installation tolerates.
 */
public final class PlannedReplacement {
    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try (Cell cell = new Cell(args[0])) {
            status = play(cell, trouble);
            cell.log("exit status %d", status);
        }
        System.exit(status);
    }

    private static int play(Cell cell, boolean trouble) throws Exception {
        Cell.Machine[] core = new Cell.Machine[5];
        for (int i = 0; i < 5; i++) core[i] = cell.add("core-" + (i + 1), "control", i + 1);
        Cell.Machine edge = cell.add("edge-1", "entry", 10);
        cell.seeds(core[0], core[1], core[2]);
        for (Cell.Machine machine : cell.machines) cell.start(machine, true);
        Http.Answer first = cell.operator("PUT", "/config", Cell.manifest(7, Json.map()), 15_000);
        if (!first.ok()) return 2;
        Cell.pause(8_000);

        Cell.Machine next = cell.add("core-6", "control", 6);
        cell.start(next, false);
        // Longer than catchUpS, so that the successor is not lost any more.
        Cell.pause(Cell.CATCH_UP_S * 1_000 + 2_000);
        cell.terminate(core[0]);
        List<Cell.Machine> left = List.of(core[1], core[2], core[3], core[4], next);

        long version = 12;
        Http.Answer changed = cell.operator(
                "PUT", "/config", Cell.manifest(version, Json.map()), 4_000, left);
        if (!changed.ok()) return 2;
        String job = "5c0e7a21d94b36f8";
        String body = "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":500,\"memMb\":256,"
                + "\"estimatedMs\":900}]}";
        Http.Answer accepted = cell.submit(edge, job, body, 10_000);
        if (!accepted.ok()) return 2;

        List<Cell.Machine> lost = List.of(core[1], core[2]);
        if (trouble) {
            for (Cell.Machine machine : lost) cell.kill(machine);
            for (Cell.Machine machine : lost) cell.wipe(machine);
            Cell.pause(1_000);
            for (Cell.Machine machine : lost) cell.start(machine, false);
        }
        // recoveryS after the machines are back; then the operator asks longer than contactMs.
        Cell.pause(Cell.RECOVERY_S * 1_000L);
        Http.Answer read = cell.operator("GET", "/config", null, 15_000, left);
        long seen = Cell.versionOf(read);
        cell.log("the operator reads version %d, acknowledged was %d", seen, version);
        Http.Answer state = cell.consumer(edge, "GET", job, null, 10_000);
        cell.log("the consumer reads %d %s for the accepted job", state.status(), state.body());
        for (Cell.Machine machine : left) {
            cell.logLast(machine, "the members are now");
            cell.logLast(machine, "the quorum is lost");
        }
        return seen >= version && state.ok() ? 0 : 1;
    }
}
