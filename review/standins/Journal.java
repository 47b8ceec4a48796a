import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes record.txt: what was sent, answered and run, with the time since the start. */
final class Journal implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Journal(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long nowMs() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void line(String format, Object... values) {
        out.printf("%7d ms  %s%n", nowMs(), String.format(format, values));
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
