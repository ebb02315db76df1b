package org.dahliapass.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A reference parser that accepts only the grammar of RFC 9112 and stops at the first violation.
 *
 * <p>It parses the complete input at once.
 */
final class StrictRequestParser {
    private static final String LINE_END = "\r\n";

    private static final Pattern REQUEST_LINE =
            Pattern.compile("([!#$%&'*+.^_`|~0-9A-Za-z-]+) ([\\x21-\\x7e]+) HTTP/1\\.([01])");

    private static final Pattern HEADER =
            Pattern.compile("([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \\t]*(.*?)[ \\t]*", Pattern.DOTALL);

    private static final Pattern VALUE = Pattern.compile("[\\t\\x20-\\x7e\\x80-\\xff]*");
    private static final Pattern HOST = Pattern.compile("[\\x21-\\x7e]+");
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");
    private static final Pattern CHUNK_SIZE = Pattern.compile("([0-9A-Fa-f]{1,8})(;.*)?");

    private final String mBytes;
    private final int mMaxBodyBytes;
    private final List<String> mRequests = new ArrayList<>();
    private int mPosition;

    /** One header line. */
    private record Header(String name, String value) {}

    private StrictRequestParser(String bytes, int maxBodyBytes) {
        mBytes = bytes;
        mMaxBodyBytes = maxBodyBytes;
    }

    /** Thrown when the input is malformed or ends early. */
    private static final class EndException extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    /** Returns the method, target and body of each request, up to a body over the limit. */
    static List<String> parse(String bytes, int maxBodyBytes) {
        StrictRequestParser parser = new StrictRequestParser(bytes, maxBodyBytes);
        try {
            boolean more = true;
            while (more) {
                more = parser.readRequest();
            }
        } catch (EndException end) {
            // Later bytes are not parsed.
            return parser.mRequests;
        }
        return parser.mRequests;
    }

    private boolean readRequest() {
        while (mBytes.startsWith(LINE_END, mPosition)) {
            mPosition += LINE_END.length();
        }
        Matcher line = REQUEST_LINE.matcher(readLine());
        expect(line.matches());
        List<Header> headers = readHeaders();
        boolean isHttp11 = line.group(3).equals("1");
        checkHost(headers, isHttp11);
        Optional<String> body = readBody(headers, isHttp11);
        mRequests.add(
                body.isPresent()
                        ? line.group(1) + " " + line.group(2) + " " + body.get()
                        : "too large");
        return isHttp11 && body.isPresent();
    }

    private static void expect(boolean valid) {
        if (!valid) {
            throw new EndException();
        }
    }

    private String readLine() {
        int end = mBytes.indexOf('\n', mPosition);
        expect(end > mPosition && mBytes.charAt(end - 1) == '\r');
        String line = mBytes.substring(mPosition, end - 1);
        mPosition = end + 1;
        return line;
    }

    private List<Header> readHeaders() {
        List<Header> headers = new ArrayList<>();
        String line = readLine();
        while (!line.isEmpty()) {
            Matcher header = HEADER.matcher(line);
            expect(header.matches() && VALUE.matcher(header.group(2)).matches());
            headers.add(new Header(header.group(1).toLowerCase(Locale.ROOT), header.group(2)));
            line = readLine();
        }
        return headers;
    }

    private static List<String> values(List<Header> headers, String name) {
        return headers.stream()
                .filter(header -> header.name().equals(name))
                .map(Header::value)
                .toList();
    }

    private static void checkHost(List<Header> headers, boolean isHttp11) {
        List<String> hosts = values(headers, "host");
        expect(hosts.size() == 1 || (hosts.isEmpty() && !isHttp11));
        expect(hosts.stream().allMatch(host -> HOST.matcher(host).matches()));
    }

    /** Returns the body; empty if it is over the limit. */
    private Optional<String> readBody(List<Header> headers, boolean isHttp11) {
        List<String> codings = values(headers, "transfer-encoding");
        List<String> lengths = values(headers, "content-length");
        if (!codings.isEmpty()) {
            expect(isHttp11 && lengths.isEmpty() && codings.size() == 1);
            expect(codings.get(0).equalsIgnoreCase("chunked"));
            return readChunks();
        }
        if (lengths.isEmpty()) {
            return Optional.of("");
        }
        expect(lengths.size() == 1 && LENGTH.matcher(lengths.get(0)).matches());
        long length = Long.parseLong(lengths.get(0));
        return length > mMaxBodyBytes ? Optional.empty() : Optional.of(readBytes((int) length));
    }

    private String readBytes(int count) {
        expect(mPosition + count <= mBytes.length());
        mPosition += count;
        return mBytes.substring(mPosition - count, mPosition);
    }

    private Optional<String> readChunks() {
        StringBuilder body = new StringBuilder();
        int size = readChunkSize();
        while (size > 0) {
            if (body.length() + Math.min(size, mBytes.length() - mPosition) > mMaxBodyBytes) {
                return Optional.empty();
            }
            body.append(readBytes(size));
            expect(readBytes(LINE_END.length()).equals(LINE_END));
            size = readChunkSize();
        }
        readHeaders();
        return Optional.of(body.toString());
    }

    private int readChunkSize() {
        Matcher line = CHUNK_SIZE.matcher(readLine());
        expect(line.matches());
        long size = Long.parseLong(line.group(1), 16);
        expect(size <= Integer.MAX_VALUE);
        return (int) size;
    }
}
