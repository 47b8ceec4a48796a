import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * Stands before a machine that goes down silently and comes back as another process. While it is
 * down, what is sent on its connections gets no answer, and no new connection opens. When it is
 * back, its old connections are unknown there: one is reset as soon as something is sent on it.
 */
final class DarkProxy implements AutoCloseable {
    private final class Link {
        final Socket source;
        final Socket onward = new Socket();
        boolean cut;

        Link(Socket source) {
            this.source = source;
        }
    }

    private final InetAddress ip;
    private final int port;
    private final List<Link> links = new ArrayList<>();
    private ServerSocket listening;
    private InetSocketAddress target;
    private boolean dark;

    DarkProxy(String ip, int targetPort) throws IOException {
        this.ip = InetAddress.getByName(ip);
        listening = listen(0);
        port = listening.getLocalPort();
        back(targetPort);
    }

    String address() {
        return ip.getHostAddress() + ":" + port;
    }

    private ServerSocket listen(int number) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(ip, number), 64);
        return socket;
    }

    /** The machine is down from now on. */
    synchronized void down() throws IOException {
        dark = true;
        listening.close();
        for (Link link : links) {
            link.cut = true;
            link.onward.close();
        }
        links.clear();
    }

    /** The machine is back, with a process that listens on this port. */
    synchronized void back(int targetPort) throws IOException {
        target = new InetSocketAddress(ip, targetPort);
        if (dark) listening = listen(port);
        dark = false;
        notifyAll();
        ServerSocket accepting = listening;
        start(() -> accept(accepting));
    }

    private void accept(ServerSocket accepting) {
        while (!accepting.isClosed()) {
            try {
                Link link = new Link(accepting.accept());
                start(() -> serve(link));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Link link) {
        try {
            link.source.setTcpNoDelay(true);
            link.onward.setTcpNoDelay(true);
            synchronized (this) {
                if (dark) throw new IOException("the machine is down");
                links.add(link);
            }
            link.onward.connect(target, 1_000);
            start(() -> answers(link));
            byte[] buffer = new byte[64 * 1024];
            InputStream in = link.source.getInputStream();
            OutputStream out = link.onward.getOutputStream();
            while (true) {
                int count = in.read(buffer);
                synchronized (this) {
                    while (link.cut && dark) wait();
                    if (link.cut) {
                        link.source.setSoLinger(true, 0);
                        break;
                    }
                }
                if (count < 0) break;
                out.write(buffer, 0, count);
            }
        } catch (IOException | InterruptedException e) {
            // The connection ends below.
        }
        close(link.source);
        close(link.onward);
    }

    private void answers(Link link) {
        byte[] buffer = new byte[64 * 1024];
        try {
            InputStream in = link.onward.getInputStream();
            OutputStream out = link.source.getOutputStream();
            while (true) {
                int count = in.read(buffer);
                synchronized (this) {
                    if (link.cut) return;
                }
                if (count < 0) break;
                out.write(buffer, 0, count);
            }
        } catch (IOException e) {
            synchronized (this) {
                if (link.cut) return;
            }
        }
        close(link.source);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Nothing is left to close.
        }
    }

    private static void start(Runnable action) {
        Thread thread = new Thread(action, "dark-proxy");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public synchronized void close() throws IOException {
        listening.close();
    }
}
