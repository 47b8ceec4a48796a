import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Bodies of jobs. */
final class Jobs {
    private Jobs() {}

    /** A job of four steps that is due in an hour, and three times more after that. */
    static String timed(String spec) {
        List<Object> steps = new ArrayList<>();
        for (int step = 0; step < 4; step++) {
            Map<String, Object> fields = Json.map("count", 10, "cpu", 3_900, "memMb", 11_000,
                    "estimatedMs", 2_300, "checkpointing", true, "dataRack", "r1-3",
                    "image", "remnant-plan-2026-12");
            if (step > 0) fields.put("after", List.of(step - 1));
            steps.add(fields);
        }
        return Json.write(Json.map("spec", spec, "steps", steps, "repeatCount", 4,
                "firstRunMs", System.currentTimeMillis() + 3_600_000, "intervalMs", 60_000));
    }
}
