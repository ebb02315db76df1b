package org.dahliapass.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads requests by the grammar of RFC 9112 alone, whole and at once, and takes none behind
 * anything that the grammar doesn't have: what the server is compared with.
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
    private final int mMostBody;
    private final List<String> mTaken = new ArrayList<>();
    private int mPlace;

    /** One header line. */
    private record Header(String name, String value) {}

    private StrictRequestParser(String bytes, int mostBody) {
        mBytes = bytes;
        mMostBody = mostBody;
    }

    /** Ends the reading: what comes can't be told, or hasn't come in full. */
    private static final class EndException extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    /**
     * Returns the requests, each with its method, target and body; a body over the limit ends them.
     */
    static List<String> read(String bytes, int mostBody) {
        StrictRequestParser reader = new StrictRequestParser(bytes, mostBody);
        try {
            boolean goesOn = true;
            while (goesOn) {
                goesOn = reader.readRequest();
            }
        } catch (EndException end) {
            // Nothing behind this place belongs to anybody.
            return reader.mTaken;
        }
        return reader.mTaken;
    }

    private boolean readRequest() {
        while (mBytes.startsWith(LINE_END, mPlace)) {
            mPlace += LINE_END.length();
        }
        Matcher line = REQUEST_LINE.matcher(readLine());
        expect(line.matches());
        List<Header> headers = readHeaders();
        boolean current = line.group(3).equals("1");
        checkHost(headers, current);
        Optional<String> body = readBody(headers, current);
        mTaken.add(
                body.isPresent()
                        ? line.group(1) + " " + line.group(2) + " " + body.get()
                        : "too large");
        return current && body.isPresent();
    }

    private static void expect(boolean proper) {
        if (!proper) {
            throw new EndException();
        }
    }

    private String readLine() {
        int end = mBytes.indexOf('\n', mPlace);
        expect(end > mPlace && mBytes.charAt(end - 1) == '\r');
        String line = mBytes.substring(mPlace, end - 1);
        mPlace = end + 1;
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

    private static void checkHost(List<Header> headers, boolean current) {
        List<String> hosts = values(headers, "host");
        expect(hosts.size() == 1 || (hosts.isEmpty() && !current));
        expect(hosts.stream().allMatch(host -> HOST.matcher(host).matches()));
    }

    /** Returns the body; empty if it is over the limit. */
    private Optional<String> readBody(List<Header> headers, boolean current) {
        List<String> codings = values(headers, "transfer-encoding");
        List<String> lengths = values(headers, "content-length");
        if (!codings.isEmpty()) {
            expect(current && lengths.isEmpty() && codings.size() == 1);
            expect(codings.get(0).equalsIgnoreCase("chunked"));
            return readChunks();
        }
        if (lengths.isEmpty()) {
            return Optional.of("");
        }
        expect(lengths.size() == 1 && LENGTH.matcher(lengths.get(0)).matches());
        long length = Long.parseLong(lengths.get(0));
        return length > mMostBody ? Optional.empty() : Optional.of(readBytes((int) length));
    }

    private String readBytes(int count) {
        expect(mPlace + count <= mBytes.length());
        mPlace += count;
        return mBytes.substring(mPlace - count, mPlace);
    }

    private Optional<String> readChunks() {
        StringBuilder body = new StringBuilder();
        int size = readChunkSize();
        while (size > 0) {
            if (body.length() + Math.min(size, mBytes.length() - mPlace) > mMostBody) {
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
