import java.util.List;
import java.util.Map;

/**
 * One of the seeds is lost for good just after the whole system has started for the first time; an
 * empty machine comes in its place at another address.
 */
public final class FirstStart {
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
        if (trouble) {
            cell.kill(core[2]);
            Cell.pause(1_000);
            cell.seeds(core[0], core[1], core[3]);
            Cell.Machine next = cell.add("core-6", "control", 6);
            cell.start(next, false);
        }
        long version = 7;
        Http.Answer first =
                cell.operator("PUT", "/config", Cell.manifest(version, Json.map()), 60_000);
        String job = "5c0e7a21d94b36f8";
        String body = "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":500,\"memMb\":256,"
                + "\"estimatedMs\":900}]}";
        Http.Answer accepted = cell.submit(edge, job, body, 10_000);
        for (Cell.Machine machine : cell.machines) {
            cell.logLast(machine, "the members are now");
        }
        return first.ok() && accepted.ok() ? 0 : 1;
    }
}
