import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** One HTTP/1.1 call on a connection of its own. */
final class Http {
    /** A response; status 0 means that none arrived. */
    record Answer(int status, String body, Map<String, String> headers) {}

    private static final Answer NONE = new Answer(0, "", Map.of());

    private Http() {}

    /** Calls {@code ip:port}. {@code headers} are alternating names and values. */
    static Answer call(
        String address, String method, String path, String body, int timeoutMs, String... headers
    ) {
        int colon = address.lastIndexOf(':');
        InetSocketAddress target = new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
        boolean hasHost = false;
        for (int i = 0; i < headers.length; i += 2) {
            hasHost |= headers[i].equals("Host");
            head.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
        }
        if (!hasHost) head.append("Host: ").append(address).append("\r\n");
        if (bytes.length > 0) head.append("Content-Type: application/json\r\n");
        head.append("Content-Length: ").append(bytes.length).append("\r\n");
        head.append("Connection: close\r\n\r\n");
        long endMs = System.nanoTime() / 1_000_000 + timeoutMs;
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(target, timeoutMs);
            socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
            return read(socket, endMs);
        } catch (IOException | NumberFormatException e) {
            return NONE;
        }
    }

    private static Answer read(Socket socket, long endMs) throws IOException {
        InputStream in = socket.getInputStream();
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int next = next(socket, in, endMs);
            if (next < 0) return NONE;
            head.write(next);
        }
        String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        Map<String, String> headers = new HashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            headers.put(lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                lines[i].substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (body.size() < length) {
            int next = next(socket, in, endMs);
            if (next < 0) return NONE;
            body.write(next);
        }
        return new Answer(Integer.parseInt(lines[0].split(" ")[1]),
            body.toString(StandardCharsets.UTF_8), headers);
    }

    private static int next(Socket socket, InputStream in, long endMs) throws IOException {
        long leftMs = endMs - System.nanoTime() / 1_000_000;
        if (leftMs <= 0) throw new IOException("no answer in time");
        socket.setSoTimeout((int) leftMs);
        return in.read();
    }
}
