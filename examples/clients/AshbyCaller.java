import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Example caller of Ashby's service: looks up the hosts' addresses, caches them for
 * their lifetime, and retries a failed call at the next address with the same request id.
 *
 * <p>Usage: AGATETIDE_KEY=... java AshbyCaller.java ADDRESS:PORT...
 * The addresses are tried in order until one answers.
 */
public final class AshbyCaller {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final Pattern ADDRESS = Pattern.compile("\"address\":\"([^\"]+)\"");
  private static final Pattern LIFETIME = Pattern.compile("\"lifetime_ms\":(\\d+)");
  private static final Pattern CODE = Pattern.compile("\"code\":\"([a-z_]+)\"");
  private static final Pattern EXECUTION = Pattern.compile("\"execution\":\"([a-z_]+)\"");

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .build();
  private final List<String> seeds;
  private final String key;
  private List<String> addresses = List.of();
  private long validUntil;

  AshbyCaller(List<String> seeds, String key) {
    this.seeds = seeds;
    this.key = key;
  }

  /** Thrown when the service refuses a call or no address answers. */
  static final class CallFailed extends IOException {
    CallFailed(String message) {
      super(message);
    }
  }

  private HttpResponse<String> send(String address, String method, String body, String requestId)
      throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + "/" + method))
            .timeout(TIMEOUT)
            .header("content-type", "application/json")
            .header("authorization", "Bearer " + key)
            .header("connect-timeout-ms", String.valueOf(TIMEOUT.toMillis()))
            .header("x-request-id", requestId)
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    return client.send(request, HttpResponse.BodyHandlers.ofString());
  }

  private static String firstGroup(Pattern pattern, String text) {
    Matcher matcher = pattern.matcher(text);
    return matcher.find() ? matcher.group(1) : "";
  }

  /** Returns the addresses to use, best first; looks them up again after their lifetime. */
  List<String> locate() throws InterruptedException {
    if (System.nanoTime() < validUntil && !addresses.isEmpty()) {
      return addresses;
    }
    List<String> candidates = new ArrayList<>(addresses);
    candidates.addAll(seeds);
    for (String address : candidates) {
      try {
        String id = UUID.randomUUID().toString();
        HttpResponse<String> response =
            send(address, "agatetide.v1.Directory/Locate", "{\"region\":\"midlands\"}", id);
        if (response.statusCode() != 200) {
          continue;
        }
        List<String> found = new ArrayList<>();
        Matcher matcher = ADDRESS.matcher(response.body());
        while (matcher.find()) {
          found.add(matcher.group(1));
        }
        addresses = found;
        long lifetime = Long.parseLong(firstGroup(LIFETIME, response.body()));
        validUntil = System.nanoTime() + Duration.ofMillis(lifetime).toNanos();
        return addresses;
      } catch (IOException unreachable) {
        // Try the next address.
      }
    }
    return candidates;
  }

  /**
   * Sends one call. All attempts use the same request id, so that a request
   * that ran but whose response was lost does not run again.
   */
  String call(String method, String body) throws IOException, InterruptedException {
    String requestId = UUID.randomUUID().toString();
    String lastError = "no address";
    for (String address : locate()) {
      try {
        HttpResponse<String> response = send(address, method, body, requestId);
        if (response.statusCode() == 200) {
          return response.body();
        }
        lastError = response.body();
        boolean retryable =
            firstGroup(CODE, lastError).equals("unavailable")
                || firstGroup(EXECUTION, lastError).equals("unknown");
        if (!retryable) {
          break;
        }
      } catch (IOException unreachable) {
        lastError = address + ": " + unreachable;
      }
    }
    throw new CallFailed(method + " with request id " + requestId + " failed: " + lastError);
  }

  public static void main(String[] arguments) throws Exception {
    String key = System.getenv("AGATETIDE_KEY");
    if (arguments.length == 0 || key == null) {
      System.err.println("usage: AGATETIDE_KEY=... java AshbyCaller.java ADDRESS:PORT...");
      System.exit(2);
    }
    AshbyCaller caller = new AshbyCaller(List.of(arguments), key);
    System.out.println(
        caller.call("ashby.v1.Defects/Find", "{\"lock\":\"Ashby 4\",\"wording\":\"leaking gate\"}"));
    System.out.println(
        caller.call("ashby.v1.Defects/FileReport", "{\"lock\":\"Ashby 4\",\"defect\":\"gate\"}"));
  }
}
