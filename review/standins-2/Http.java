import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** One HTTP/1.1 call on a connection of its own. */
final class Http {
    /** An answer; status 0 stands for none, with the reason as its body. */
    record Answer(int status, String body, Map<String, String> headers) {
        boolean ok() {
            return status >= 200 && status < 300;
        }
    }

    private Http() {}

    static Answer call(
            String address, String method, String path, Map<String, String> headers, String body,
            int timeoutMs) {
        String[] parts = address.split(":");
        long untilNanos = System.nanoTime() + timeoutMs * 1_000_000L;
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), timeoutMs);
            socket.setTcpNoDelay(true);
            byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            if (!headers.containsKey("Host")) head.append("Host: ").append(address).append("\r\n");
            headers.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
            head.append("Content-Type: application/json\r\nConnection: close\r\n");
            head.append("Content-Length: ").append(bytes.length).append("\r\n\r\n");
            socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
            return read(socket, untilNanos);
        } catch (IOException e) {
            return new Answer(0, String.valueOf(e.getMessage()), Map.of());
        }
    }

    private static Answer read(Socket socket, long untilNanos) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        String status = line(socket, in, untilNanos);
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String l = line(socket, in, untilNanos); !l.isEmpty();
                l = line(socket, in, untilNanos)) {
            int colon = l.indexOf(':');
            headers.put(l.substring(0, colon).trim(), l.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
        byte[] body = new byte[length];
        for (int at = 0; at < length; ) {
            limit(socket, untilNanos);
            int read = in.read(body, at, length - at);
            if (read < 0) throw new IOException("the answer ends early");
            at += read;
        }
        int code = Integer.parseInt(status.split(" ")[1]);
        return new Answer(code, new String(body, StandardCharsets.UTF_8), headers);
    }

    private static void limit(Socket socket, long untilNanos) throws IOException {
        long leftMs = (untilNanos - System.nanoTime()) / 1_000_000;
        if (leftMs <= 0) throw new IOException("no answer in time");
        socket.setSoTimeout((int) leftMs);
    }

    private static String line(Socket socket, InputStream in, long untilNanos) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            limit(socket, untilNanos);
            int c = in.read();
            if (c < 0) throw new IOException("closed without an answer");
            if (c == '\n') return line.toString().trim();
            line.append((char) c);
        }
    }
}
