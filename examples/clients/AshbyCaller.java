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
 * Calls Ashby's service: asks for addresses, keeps them for their lifetime, and
 * falls back down the list with the same request id.
 *
 * <p>Usage: AGATETIDE_KEY=... java AshbyCaller.java ADDRESS:PORT... ; further
 * addresses are used when the first does not answer.
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
  private final List<String> first;
  private final String key;
  private List<String> addresses = List.of();
  private long validUntil;

  AshbyCaller(List<String> first, String key) {
    this.first = first;
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

  private static String find(Pattern pattern, String text) {
    Matcher matcher = pattern.matcher(text);
    return matcher.find() ? matcher.group(1) : "";
  }

  /** The addresses to use, best first; asks again when the lifetime is over. */
  List<String> locate() throws InterruptedException {
    if (System.nanoTime() < validUntil && !addresses.isEmpty()) {
      return addresses;
    }
    List<String> candidates = new ArrayList<>(addresses);
    candidates.addAll(first);
    for (String address : candidates) {
      try {
        String id = UUID.randomUUID().toString();
        HttpResponse<String> answer =
            send(address, "agatetide.v1.Directory/Locate", "{\"region\":\"midlands\"}", id);
        if (answer.statusCode() != 200) {
          continue;
        }
        List<String> found = new ArrayList<>();
        Matcher matcher = ADDRESS.matcher(answer.body());
        while (matcher.find()) {
          found.add(matcher.group(1));
        }
        addresses = found;
        long lifetime = Long.parseLong(find(LIFETIME, answer.body()));
        validUntil = System.nanoTime() + Duration.ofMillis(lifetime).toNanos();
        return addresses;
      } catch (IOException unreachable) {
        // The next address is tried.
      }
    }
    return candidates;
  }

  /**
   * Sends one call. The request id stays the same over all attempts, so that a
   * request that ran but whose answer was lost is not run again.
   */
  String call(String method, String body) throws IOException, InterruptedException {
    String requestId = UUID.randomUUID().toString();
    String reason = "no address";
    for (String address : locate()) {
      try {
        HttpResponse<String> answer = send(address, method, body, requestId);
        if (answer.statusCode() == 200) {
          return answer.body();
        }
        reason = answer.body();
        boolean another =
            find(CODE, reason).equals("unavailable")
                || find(EXECUTION, reason).equals("unknown");
        if (!another) {
          break;
        }
      } catch (IOException unreachable) {
        reason = address + ": " + unreachable;
      }
    }
    throw new CallFailed(method + " with request id " + requestId + " failed: " + reason);
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
