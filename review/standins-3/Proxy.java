import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Forwards TCP connections; while it is cut, nothing passes and nothing is reset. */
final class Proxy implements AutoCloseable {
    private final InetSocketAddress target;
    private final ServerSocket server = new ServerSocket();
    private boolean isCut;

    Proxy(InetSocketAddress listen, InetSocketAddress target) throws IOException {
        this.target = target;
        server.bind(listen, 128);
        start(this::acceptAll);
    }

    synchronized void cut() {
        isCut = true;
    }

    synchronized void heal() {
        isCut = false;
        notifyAll();
    }

    private synchronized void awaitPath() {
        while (isCut) {
            try {
                wait();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private static void start(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptAll() {
        while (!server.isClosed()) {
            try {
                Socket from = server.accept();
                start(() -> serve(from));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket from) {
        try {
            awaitPath();
            Socket to = new Socket();
            to.connect(target, 1_000);
            from.setTcpNoDelay(true);
            to.setTcpNoDelay(true);
            start(() -> copy(from, to));
            copy(to, from);
        } catch (IOException e) {
            close(from);
        }
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[16 * 1024];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                awaitPath();
                out.write(buffer, 0, count);
                out.flush();
            }
            awaitPath();
        } catch (IOException e) {
            // The other side is closed below.
        } finally {
            close(from);
            close(to);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Nothing to do.
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
