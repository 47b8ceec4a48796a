import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** An HTTP/1.1 client with one kept connection per address; one call at a time. */
final class Http implements AutoCloseable {
    /** The answer to a call. */
    record Answer(int status, Map<String, String> headers, String body) {
    }

    private final Map<String, Socket> kept = new LinkedHashMap<>();

    /**
     * Makes a call. Throws IOException when there is no complete answer within the time; the
     * connection is closed then, in the ordinary way, so bytes that were sent stay sent.
     */
    synchronized Answer call(String address, String method, String path, Map<String, String> headers,
                             String body, int timeoutMs) throws IOException {
        long dueNanos = System.nanoTime() + timeoutMs * 1_000_000L;
        Socket socket = kept.remove(address);
        if (socket == null || socket.isClosed()) {
            int colon = address.lastIndexOf(':');
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(
                new InetSocketAddress(
                    address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                timeoutMs);
        }
        boolean keep = false;
        try {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            if (!headers.containsKey("Host")) head.append("Host: ").append(address).append("\r\n");
            headers.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
            head.append("Content-Type: application/json\r\n");
            head.append("Content-Length: ").append(bytes.length).append("\r\n\r\n");
            ByteArrayOutputStream request = new ByteArrayOutputStream();
            request.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            request.write(bytes);
            socket.getOutputStream().write(request.toByteArray());
            Answer answer = read(socket, dueNanos);
            keep = !"close".equalsIgnoreCase(answer.headers().getOrDefault("connection", ""));
            return answer;
        } finally {
            if (keep) kept.put(address, socket);
            else socket.close();
        }
    }

    private static Answer read(Socket socket, long dueNanos) throws IOException {
        InputStream in = socket.getInputStream();
        String[] status = line(socket, in, dueNanos).split(" ", 3);
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(socket, in, dueNanos); !line.isEmpty(); line = line(socket, in, dueNanos)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = new byte[length];
        for (int i = 0; i < length; i++) body[i] = (byte) readByte(socket, in, dueNanos);
        return new Answer(Integer.parseInt(status[1]), headers, new String(body, StandardCharsets.UTF_8));
    }

    private static String line(Socket socket, InputStream in, long dueNanos) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (true) {
            int c = readByte(socket, in, dueNanos);
            if (c == '\n') return out.toString(StandardCharsets.ISO_8859_1).trim();
            out.write(c);
        }
    }

    private static int readByte(Socket socket, InputStream in, long dueNanos) throws IOException {
        long leftMs = (dueNanos - System.nanoTime()) / 1_000_000;
        if (leftMs <= 0) throw new IOException("no answer in time");
        socket.setSoTimeout((int) leftMs);
        int c = in.read();
        if (c < 0) throw new EOFException("the connection was closed before the answer");
        return c;
    }

    @Override
    public synchronized void close() throws IOException {
        for (Socket socket : kept.values()) socket.close();
        kept.clear();
    }
}
